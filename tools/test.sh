#!/usr/bin/env bash
# Installs the packages, builds, lints and runs all tests. The last line is
# 'N passed, N failed'. Tests named 'known-red' are listed in KNOWN-RED.txt: they
# run separately, and their results are printed but do not affect the exit code.
set -uo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh > /tmp/hawthorn-setup.$$ 2>&1 || {
  cat /tmp/hawthorn-setup.$$
  exit 1
}
rm -f /tmp/hawthorn-setup.$$
tools/build.sh || exit 1
tools/lint.sh || exit 1
# The users' platform builds with the command in deploy/system.toml; it must
# pass too.
platform_build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$platform_build" ] || {
  echo "deploy/system.toml names no build"
  exit 1
}
sh -c "$platform_build" > build/platform-build.log 2>&1 || {
  tail -n 40 build/platform-build.log
  exit 1
}
export RC_PARAMS="seed=2026"
log=build/test.log
ctest --test-dir build -j "$(nproc)" --output-on-failure \
  -E 'known-red' > "$log" 2>&1
verdict=$?
if [ "$verdict" -ne 0 ]; then
  cat "$log"
fi
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures, reported but not gating:"
  cat KNOWN-RED.txt
  ctest --test-dir build -R 'known-red' 2>&1 | tail -n 15 |
    grep -v 'No tests were found' || true
fi
if ! JOBS="$(nproc)" examples/embedding/check.sh build; then
  echo "the coordination library does not build when installed"
  verdict=1
fi
total=$(sed -nE 's/.* tests failed out of ([0-9]+).*/\1/p' "$log" | tail -n 1)
failed=$(sed -nE 's/.*, ([0-9]+) tests failed out of.*/\1/p' "$log" | tail -n 1)
[ -n "$total" ] && [ "$total" -gt 0 ] || {
  echo "no test ran"
  exit 1
}
echo "$((total - failed)) passed, $failed failed"
exit "$verdict"
