#pragma once

#include <jansson.h>
#include <ostream>
#include <string>
#include <vector>

namespace kingcuploom::ctl {

using Row = std::vector<std::string>;

// Prints the rows with each column padded to its widest cell. The first row is the header.
void printTable(std::ostream&, const std::vector<Row>&);

// Returns a member of a JSON object as text, strings without quotes; empty if the member is absent.
std::string memberText(const json_t* object, const char* key);

std::string toCompactJson(const json_t*);

// Formats each scalar of a JSON object as "path=value", separated by spaces.
std::string formatSummary(const json_t*);

struct ColumnNames {
    const char* first;
    const char* second;
};

// Prints a table of the fields in which the two objects differ.
void printDifferences(std::ostream&, const json_t* first, const json_t* second, ColumnNames);

} // namespace kingcuploom::ctl
