#pragma once

#include <jansson.h>
#include <lua.hpp>

namespace kingcuploom::scenario {

// Pushes the JSON value onto the Lua stack. Objects and arrays become tables, null becomes nil.
void pushJson(lua_State*, const json_t*);

// Converts the Lua value at the stack index to JSON. A table with an element at [1] or with no keys becomes an array.
// The caller owns the returned reference.
json_t* toJson(lua_State*, int index);

} // namespace kingcuploom::scenario
