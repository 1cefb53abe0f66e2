#include "SizeTable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace kingcuploom::ctl {

namespace {

    constexpr std::string_view event = "event=job_sizes ";
    // Counts that add up over the terms of the leaders.
    constexpr std::array countNames { "on_time", "late", "expired", "failed", "cancelled", "extra_starts", "until_known_ms" };
    // Jobs that the last leader still had.
    constexpr std::array openNames { "begun", "not_begun" };

    using Fields = std::map<std::string, std::string>;

    std::int64_t toNumber(std::string_view text)
    {
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::int64_t getNumber(const Fields& fields, const std::string& name)
    {
        const auto it = fields.find(name);
        return it == fields.end() ? 0 : toNumber(it->second);
    }

    std::string getText(const Fields& fields, const std::string& name)
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }

    // The fields of the event need no quotes.
    Fields parseFields(const std::string& text)
    {
        Fields fields;
        std::istringstream words(text);
        for (std::string word; words >> word;) {
            if (const auto equals = word.find('='); equals != std::string::npos)
                fields[word.substr(0, equals)] = word.substr(equals + 1);
        }
        return fields;
    }

    // Adds waits of the form "cause:ms,cause:ms".
    void addWaits(std::map<std::string, std::int64_t>& sums, const std::string& text)
    {
        std::istringstream list(text);
        for (std::string entry; std::getline(list, entry, ',');) {
            if (const auto colon = entry.find(':'); colon != std::string::npos)
                sums[entry.substr(0, colon)] += toNumber(std::string_view(entry).substr(colon + 1));
        }
    }

    std::string formatSeconds(const std::map<std::string, std::int64_t>& waits)
    {
        std::string text;
        for (const auto& [cause, ms] : waits)
            text += (text.empty() ? "" : " ") + cause + ':' + std::to_string((ms + 500) / 1000);
        return text;
    }

} // namespace

void SizeTable::read(std::istream& input)
{
    for (std::string line; std::getline(input, line);) {
        const auto begin = line.find(event);
        if (begin == std::string::npos)
            continue;
        auto fields = parseFields(line.substr(begin));
        const std::pair key(getText(fields, "queue"), getText(fields, "size"));
        const auto term = getNumber(fields, "term");
        m_lines[key][term] = std::move(fields);
    }
}

std::vector<Row> SizeTable::rows() const
{
    std::vector<Row> rows { { "QUEUE", "SIZE", "JOBS", "ON-TIME", "LATE", "EXPIRED", "FAILED", "CANCELLED", "BEGUN", "NOT-BEGUN",
        "EXTRA-STARTS", "KNOWN-AFTER-S", "WAITS-S" } };
    for (const auto& [key, terms] : m_lines) {
        std::map<std::string, std::int64_t> sums;
        std::map<std::string, std::int64_t> waits;
        for (const auto& [term, fields] : terms) {
            for (const auto* name : countNames)
                sums[name] += getNumber(fields, name);
            addWaits(waits, getText(fields, "waits_ms"));
        }
        for (const auto* name : openNames)
            sums[name] = getNumber(terms.rbegin()->second, name);
        const auto jobs
            = sums["on_time"] + sums["late"] + sums["expired"] + sums["failed"] + sums["cancelled"] + sums["begun"] + sums["not_begun"];
        const auto text = [&](const char* name) { return std::to_string(sums[name]); };
        rows.push_back({ key.first, key.second, std::to_string(jobs), text("on_time"), text("late"), text("expired"), text("failed"),
            text("cancelled"), text("begun"), text("not_begun"), text("extra_starts"), std::to_string(sums["until_known_ms"] / 1000),
            formatSeconds(waits) });
    }
    return rows;
}

} // namespace kingcuploom::ctl
