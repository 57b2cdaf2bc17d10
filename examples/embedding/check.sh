#!/usr/bin/env bash
# Installs the coordination library from a configured build folder into a
# prefix inside that folder, builds the example against that prefix only and
# runs it twice: the second run must see the command that the first one
# committed.
# Usage: check.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${1:-build}"
work="$build/embedding-check"
rm -rf "$work"
mkdir -p "$work"

cmake --build "$build" --target coordination -j "${JOBS:-3}" >"$work/build.log"
cmake --install "$build" --component coordination \
  --prefix "$work/prefix" >"$work/install.log"
prefix="$(cd "$work/prefix" && pwd)"
# Built from a copy, so that no header of the source tree is found.
cp -r examples/embedding "$work/source"
cmake -S "$work/source" -B "$work/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$prefix" >"$work/configure.log"
cmake --build "$work/build" >"$work/example.log"

first="$("$work/build/embedding" "$work/data")"
second="$("$work/build/embedding" "$work/data")"
if [ "$first" != 1 ] || [ "$second" != 2 ]; then
  echo "embedding: expected 1 and 2, got '$first' and '$second'" >&2
  exit 1
fi
echo "embedding: installed, built and run twice"
