#include "SizeTable.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace kingcuploom::ctl;

TEST_CASE("The table of sizes adds up the terms of several leaders, each by its last line")
{
    // Guards against a table that counts a job once for each line, or loses what an earlier leader has seen.
    std::istringstream log(
        R"(node-1 3.1 time=t level=INFO daemon=a event=job_sizes queue=q/ size=largest_tenth on_time=1 late=0 expired=0 failed=0 cancelled=0 begun=4 not_begun=2 waits_ms=none until_known_ms=0 extra_starts=0 term=7
node-1 5.1 time=t level=INFO daemon=a event=job_sizes queue=q/ size=largest_tenth on_time=3 late=1 expired=0 failed=0 cancelled=0 begun=4 not_begun=2 waits_ms=room:1500 until_known_ms=0 extra_starts=2 term=7
node-1 5.2 time=t level=INFO daemon=a event=job_ended job=x queue=q/ size=largest_tenth term=7
node-2 9.0 time=t level=INFO daemon=b event=job_sizes queue=q/ size=largest_tenth on_time=2 late=0 expired=2 failed=1 cancelled=1 begun=1 not_begun=0 waits_ms=room:2600,retry:900 until_known_ms=2100 extra_starts=3 term=9
)");
    SizeTable table;
    table.read(log);
    const auto rows = table.rows();
    REQUIRE(rows.size() == 2);
    CHECK(rows[1] == Row { "q/", "largest_tenth", "11", "5", "1", "2", "1", "1", "1", "0", "5", "2", "retry:1 room:4" });
}
