#pragma once

#include "Table.h"

#include <istream>
#include <map>
#include <string>

namespace kingcuploom::ctl {

// Collects the "job_sizes" lines of log files and adds them up by queue and size of the jobs. Lines of other events are ignored.
class SizeTable {
public:
    void read(std::istream&);
    // Header and one row for each queue and size.
    std::vector<Row> rows() const;

private:
    using Fields = std::map<std::string, std::string>;
    // Last line of each term, by queue and size.
    std::map<std::pair<std::string, std::string>, std::map<std::int64_t, Fields>> m_lines;
};

} // namespace kingcuploom::ctl
