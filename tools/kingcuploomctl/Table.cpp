#include "Table.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace kingcuploom::ctl {

namespace {

    std::string scalarText(const json_t* value)
    {
        if (!value)
            return {};
        if (json_is_string(value))
            return json_string_value(value);
        return toCompactJson(value);
    }

    void flatten(const json_t* value, const std::string& path, std::map<std::string, std::string>& fields)
    {
        if (!json_is_object(value)) {
            fields[path] = scalarText(value);
            return;
        }
        const char* key = nullptr;
        json_t* member = nullptr;
        json_object_foreach(const_cast<json_t*>(value), key, member) { flatten(member, path.empty() ? key : path + "." + key, fields); }
    }

    std::map<std::string, std::string> flattenFields(const json_t* value)
    {
        std::map<std::string, std::string> fields;
        if (value)
            flatten(value, "", fields);
        return fields;
    }

    std::string valueOrAbsent(const std::map<std::string, std::string>& fields, const std::string& key)
    {
        const auto it = fields.find(key);
        return it == fields.end() ? "(absent)" : it->second;
    }

} // namespace

void printTable(std::ostream& out, const std::vector<Row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string text;
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            text.append(widths[i] - row[i].size() + 2, ' ');
        }
        text.erase(text.find_last_not_of(' ') + 1);
        out << text << '\n';
    }
}

std::string memberText(const json_t* object, const char* key) { return scalarText(json_object_get(object, key)); }

std::string toCompactJson(const json_t* value)
{
    const std::unique_ptr<char, decltype(&free)> text(json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY), &free);
    return text ? text.get() : "null";
}

std::string formatSummary(const json_t* value)
{
    std::string summary;
    for (const auto& [path, text] : flattenFields(value)) {
        const bool isQuoted = text.empty() || text.find(' ') != std::string::npos;
        const auto* quote = isQuoted ? "\"" : "";
        summary.append(summary.empty() ? "" : " ").append(path).append("=").append(quote).append(text).append(quote);
    }
    return summary;
}

void printDifferences(std::ostream& out, const json_t* first, const json_t* second, ColumnNames names)
{
    const auto firstFields = flattenFields(first);
    const auto secondFields = flattenFields(second);
    std::set<std::string> paths;
    std::ranges::transform(firstFields, std::inserter(paths, paths.end()), [](const auto& field) { return field.first; });
    std::ranges::transform(secondFields, std::inserter(paths, paths.end()), [](const auto& field) { return field.first; });
    std::vector<Row> rows { { "  FIELD", names.first, names.second } };
    for (const auto& path : paths) {
        if (valueOrAbsent(firstFields, path) != valueOrAbsent(secondFields, path))
            rows.push_back({ "  " + path, valueOrAbsent(firstFields, path), valueOrAbsent(secondFields, path) });
    }
    printTable(out, rows);
}

} // namespace kingcuploom::ctl
