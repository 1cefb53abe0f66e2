#!/bin/sh
# Plays the users' bench on the sites of the current milestone, where the bench is there. By hand; CI has no bench.
# Usage: tests/regression.sh WHY [JOBS]
set -eu
cd "$(dirname "$0")/.."
kit=../given/kit/more/system
bench=$kit/more/bench-d17393/bin/fleetbench
why=${1:?usage: tests/regression.sh WHY [JOBS]}
jobs=${2:-3}

[ -x "$bench" ] || {
    echo "the users' bench is not here" >&2
    exit 2
}

"$bench" score $kit/large/lfw-hq-large.toml --small --jobs "$jobs" --why "$why"
for site in large/lfw-hq-large grown/lfw-hq-grown grown/ramdin-loom-grown sites/lfw-hq sites/ramdin-loom; do
    "$bench" score "$kit/$site.toml" --jobs "$jobs" --why "$why"
done
