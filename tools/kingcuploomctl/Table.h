#pragma once

#include <jansson.h>
#include <ostream>
#include <string>
#include <vector>

namespace kingcuploom::ctl {

using Row = std::vector<std::string>;

// Columns padded to their widest cell; the first row is the heading.
void printTable(std::ostream&, const std::vector<Row>&);

// A member as text without quotes; empty when absent.
std::string memberText(const json_t* object, const char* key);

std::string toCompactJson(const json_t*);

// "path=value" for each scalar of the object, separated by spaces.
std::string formatSummary(const json_t*);

struct ColumnNames {
    const char* first;
    const char* second;
};

// A table of the fields in which the two objects differ.
void printDifferences(std::ostream&, const json_t* first, const json_t* second, ColumnNames);

} // namespace kingcuploom::ctl
