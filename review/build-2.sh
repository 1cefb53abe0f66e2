#!/bin/sh
# Builds the project's stand-in of an executor into target/review-2/bin. Needs no network. The other stand-ins of the second review are Python.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DKC_DEPS_DIR="$PWD/target/deps" >/dev/null
ninja -C target/review-2 standin_platform
