#include "Scenario.h"

#include "LuaJson.h"

#include <csignal>
#include <fstream>
#include <thread>

namespace kingcuploom::scenario {

namespace {

    Scenario& getScenario(lua_State* lua) { return *static_cast<Scenario*>(lua_touserdata(lua, lua_upvalueindex(1))); }

    std::vector<std::string> readStringList(lua_State* lua, int index)
    {
        std::vector<std::string> list;
        const auto length = static_cast<lua_Integer>(lua_rawlen(lua, index));
        for (lua_Integer i = 1; i <= length; ++i) {
            lua_rawgeti(lua, index, i);
            list.emplace_back(luaL_checkstring(lua, -1));
            lua_pop(lua, 1);
        }
        return list;
    }

    std::string readStringField(lua_State* lua, int index, const char* name, const char* defaultValue)
    {
        lua_getfield(lua, index, name);
        std::string value = lua_isstring(lua, -1) ? lua_tostring(lua, -1) : defaultValue;
        lua_pop(lua, 1);
        return value;
    }

    int readIntField(lua_State* lua, int index, const char* name, int defaultValue)
    {
        lua_getfield(lua, index, name);
        const int value = lua_isnumber(lua, -1) ? static_cast<int>(lua_tointeger(lua, -1)) : defaultValue;
        lua_pop(lua, 1);
        return value;
    }

    // process_start(name, program, args, port_keys) -> port, port, ... (true without port keys) or nil, error
    int processStart(lua_State* lua)
    {
        auto& scenario = getScenario(lua);
        const std::string name = luaL_checkstring(lua, 1);
        const auto program = scenario.binaries / luaL_checkstring(lua, 2);
        const auto ports = scenario.processes.start(name, program, readStringList(lua, 3), readStringList(lua, 4));
        if (!ports) {
            lua_pushnil(lua);
            lua_pushfstring(lua, "process %s failed to start: %s", name.c_str(), scenario.processes.output(name).c_str());
            return 2;
        }
        if (ports->empty()) {
            lua_pushboolean(lua, true);
            return 1;
        }
        for (const auto port : *ports)
            lua_pushinteger(lua, port);
        return static_cast<int>(ports->size());
    }

    // process_signal(name, "KILL"|"TERM"|"STOP"|"CONT") -> boolean
    int processSignal(lua_State* lua)
    {
        const std::map<std::string, int> signals { { "KILL", SIGKILL }, { "TERM", SIGTERM }, { "STOP", SIGSTOP }, { "CONT", SIGCONT } };
        const auto it = signals.find(luaL_checkstring(lua, 2));
        luaL_argcheck(lua, it != signals.end(), 2, "unknown signal");
        lua_pushboolean(lua, getScenario(lua).processes.sendSignal(luaL_checkstring(lua, 1), it->second).has_value());
        return 1;
    }

    // process_wait(name, ms) -> exit code or nil
    int processWait(lua_State* lua)
    {
        const auto code = getScenario(lua).processes.waitForExit(luaL_checkstring(lua, 1), Milliseconds(luaL_checkinteger(lua, 2)));
        if (code)
            lua_pushinteger(lua, *code);
        else
            lua_pushnil(lua);
        return 1;
    }

    int processOutput(lua_State* lua)
    {
        lua_pushstring(lua, getScenario(lua).processes.output(luaL_checkstring(lua, 1)).c_str());
        return 1;
    }

    http::Headers readHeaders(lua_State* lua, int index)
    {
        http::Headers headers;
        if (!lua_istable(lua, index))
            return headers;
        lua_pushnil(lua);
        while (lua_next(lua, index) != 0) {
            const std::string name = lua_tostring(lua, -2);
            headers.emplace_back(name, luaL_tolstring(lua, -1, nullptr));
            lua_pop(lua, 2);
        }
        return headers;
    }

    // http(method, base_url, path, body, headers, timeout_ms) -> status, body, headers or nil, error name
    int httpCall(lua_State* lua)
    {
        http::Request request { luaL_checkstring(lua, 1), luaL_checkstring(lua, 3), readHeaders(lua, 5), luaL_optstring(lua, 4, "") };
        http::CallOptions options;
        options.timeout = Milliseconds(luaL_optinteger(lua, 6, 5000));
        options.reuse = http::ConnectionReuse::Forbidden;
        const auto response = getScenario(lua).client.call(luaL_checkstring(lua, 2), request, options);
        if (!response) {
            lua_pushnil(lua);
            lua_pushstring(lua, http::isNotSent(response.error().code) ? "not-sent" : "lost");
            return 2;
        }
        lua_pushinteger(lua, response->status);
        lua_pushlstring(lua, response->body.data(), response->body.size());
        lua_newtable(lua);
        for (const auto& [name, value] : response->headers) {
            lua_pushstring(lua, value.c_str());
            lua_setfield(lua, -2, name.c_str());
        }
        return 3;
    }

    int jsonDecode(lua_State* lua)
    {
        std::size_t size = 0;
        const char* text = luaL_checklstring(lua, 1, &size);
        json_t* value = json_loadb(text, size, JSON_DECODE_ANY, nullptr);
        if (!value)
            return luaL_error(lua, "not JSON: %s", text);
        pushJson(lua, value);
        json_decref(value);
        return 1;
    }

    int jsonEncode(lua_State* lua)
    {
        json_t* value = toJson(lua, 1);
        char* text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
        lua_pushstring(lua, text);
        free(text);
        json_decref(value);
        return 1;
    }

    // write_file(name, text) -> path of the file, which is in the scenario's folder
    int writeFile(lua_State* lua)
    {
        const auto path = getScenario(lua).processes.folder() / luaL_checkstring(lua, 1);
        std::ofstream(path) << luaL_checkstring(lua, 2);
        lua_pushstring(lua, path.c_str());
        return 1;
    }

    int nowMs(lua_State* lua)
    {
        const auto elapsed = std::chrono::steady_clock::now() - getScenario(lua).startTime;
        lua_pushinteger(lua, std::chrono::duration_cast<Milliseconds>(elapsed).count());
        return 1;
    }

    // wall_ms() -> wall-clock time, comparable with the times in the records of the stand-ins
    int wallClockMs(lua_State* lua)
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        lua_pushinteger(lua, std::chrono::duration_cast<Milliseconds>(time).count());
        return 1;
    }

    int sleepMs(lua_State* lua)
    {
        std::this_thread::sleep_for(Milliseconds(luaL_checkinteger(lua, 1)));
        return 0;
    }

    std::vector<ScheduledCall> readSchedule(lua_State* lua, int index)
    {
        std::vector<ScheduledCall> schedule;
        lua_getfield(lua, index, "schedule");
        const auto length = lua_istable(lua, -1) ? static_cast<lua_Integer>(lua_rawlen(lua, -1)) : 0;
        for (lua_Integer i = 1; i <= length; ++i) {
            lua_rawgeti(lua, -1, i);
            const int entry = lua_gettop(lua);
            schedule.push_back({ Milliseconds(readIntField(lua, entry, "at_ms", 0)), readStringField(lua, entry, "service", ""),
                readStringField(lua, entry, "team", ""), readStringField(lua, entry, "method", "POST"),
                readIntField(lua, entry, "work_ms", 5), readIntField(lua, entry, "deadline_ms", 2000),
                readIntField(lua, entry, "body_bytes", 64) });
            lua_pop(lua, 1);
        }
        lua_pop(lua, 1);
        return schedule;
    }

    // load_start(name, options)
    int loadStart(lua_State* lua)
    {
        LoadOptions options;
        lua_getfield(lua, 2, "urls");
        options.urls = readStringList(lua, lua_gettop(lua));
        lua_pop(lua, 1);
        options.service = readStringField(lua, 2, "service", "");
        options.team = readStringField(lua, 2, "team", "");
        options.method = readStringField(lua, 2, "method", "POST");
        options.idPrefix = readStringField(lua, 2, "id_prefix", "call-");
        options.callers = readIntField(lua, 2, "callers", 4);
        options.calls = readIntField(lua, 2, "calls", 0);
        options.workMs = readIntField(lua, 2, "work_ms", 5);
        options.deadlineMs = readIntField(lua, 2, "deadline_ms", 2000);
        options.bodyBytes = readIntField(lua, 2, "body_bytes", 64);
        options.pathPrefix = readStringField(lua, 2, "path_prefix", "/v1/call/");
        options.reusesConnections = readIntField(lua, 2, "reuse", 0) != 0;
        options.schedule = readSchedule(lua, 2);
        getScenario(lua).loads[luaL_checkstring(lua, 1)] = std::make_unique<LoadGenerator>(options);
        return 0;
    }

    void pushRecords(lua_State* lua, const std::vector<CallRecord>& records)
    {
        lua_createtable(lua, static_cast<int>(records.size()), 0);
        lua_Integer i = 0;
        for (const auto& record : records) {
            lua_newtable(lua);
            lua_pushstring(lua, record.id.c_str());
            lua_setfield(lua, -2, "id");
            lua_pushinteger(lua, record.status);
            lua_setfield(lua, -2, "status");
            lua_pushstring(lua, record.outcome.c_str());
            lua_setfield(lua, -2, "outcome");
            lua_pushboolean(lua, record.isIntactResponse);
            lua_setfield(lua, -2, "whole");
            lua_pushnumber(lua, static_cast<double>(record.latency.count()) / 1000.0);
            lua_setfield(lua, -2, "ms");
            lua_rawseti(lua, -2, ++i);
        }
    }

    // load_finish(name) and load_stop(name) -> list of {id, status, outcome, whole, ms}
    int loadFinish(lua_State* lua)
    {
        pushRecords(lua, getScenario(lua).loads.at(luaL_checkstring(lua, 1))->waitForCompletion());
        return 1;
    }

    int loadStop(lua_State* lua)
    {
        pushRecords(lua, getScenario(lua).loads.at(luaL_checkstring(lua, 1))->stop());
        return 1;
    }

    int loadCount(lua_State* lua)
    {
        lua_pushinteger(lua, static_cast<lua_Integer>(getScenario(lua).loads.at(luaL_checkstring(lua, 1))->recordCount()));
        return 1;
    }

    // relay_start(name, "plain"|"links", target_port) -> port. Without target_port, relay_target(name, port) must set it later.
    int relayStart(lua_State* lua)
    {
        const auto kind = std::string_view(luaL_checkstring(lua, 2)) == "links" ? RelayKind::DaemonLink : RelayKind::Any;
        auto relay = std::make_unique<Relay>(kind, static_cast<std::uint16_t>(luaL_optinteger(lua, 3, 0)));
        lua_pushinteger(lua, relay->port());
        getScenario(lua).relays[luaL_checkstring(lua, 1)] = std::move(relay);
        return 1;
    }

    int relayTarget(lua_State* lua)
    {
        getScenario(lua).relays.at(luaL_checkstring(lua, 1))->setTarget(static_cast<std::uint16_t>(luaL_checkinteger(lua, 2)));
        return 0;
    }

    // relay_cut(name, sender) and relay_heal(name, sender); all connections if sender is omitted
    int relayCut(lua_State* lua)
    {
        getScenario(lua).relays.at(luaL_checkstring(lua, 1))->block(luaL_optstring(lua, 2, ""));
        return 0;
    }

    int relayHeal(lua_State* lua)
    {
        getScenario(lua).relays.at(luaL_checkstring(lua, 1))->unblock(luaL_optstring(lua, 2, ""));
        return 0;
    }

    const luaL_Reg runnerFunctions[] = { { "process_start", processStart }, { "process_signal", processSignal },
        { "process_wait", processWait }, { "process_output", processOutput }, { "http", httpCall }, { "json_decode", jsonDecode },
        { "json_encode", jsonEncode }, { "write_file", writeFile }, { "now_ms", nowMs }, { "wall_ms", wallClockMs },
        { "sleep_ms", sleepMs }, { "load_start", loadStart }, { "load_finish", loadFinish }, { "load_stop", loadStop },
        { "load_count", loadCount }, { "relay_start", relayStart }, { "relay_target", relayTarget }, { "relay_cut", relayCut },
        { "relay_heal", relayHeal }, { nullptr, nullptr } };

    int addTraceback(lua_State* lua)
    {
        luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
        return 1;
    }

} // namespace

std::string runScenario(Scenario& scenario, const std::filesystem::path& file, const std::string& disabledGuard)
{
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    lua_newtable(lua);
    lua_pushlightuserdata(lua, &scenario);
    luaL_setfuncs(lua, runnerFunctions, 1);
    lua_setglobal(lua, "runner");
    lua_pushstring(lua, disabledGuard.c_str());
    lua_setglobal(lua, "fault");
    lua_pushstring(lua, file.parent_path().c_str());
    lua_setglobal(lua, "scenario_folder");
    // Experiments, which are in a sibling folder, use the Lua libraries of the scenarios too.
    const auto libraryPattern = (file.parent_path().parent_path() / "scenarios" / "lib" / "?.lua").string();
    lua_getglobal(lua, "package");
    lua_pushstring(lua, libraryPattern.c_str());
    lua_setfield(lua, -2, "path");
    lua_pop(lua, 1);

    lua_pushcfunction(lua, addTraceback);
    std::string error;
    if (luaL_loadfile(lua, file.c_str()) != LUA_OK || lua_pcall(lua, 0, 0, -2) != LUA_OK)
        error = lua_tostring(lua, -1);
    lua_close(lua);
    return error;
}

} // namespace kingcuploom::scenario
