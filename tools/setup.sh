#!/usr/bin/env bash
# Installs the packages that the build, the tests and the linter require.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < tools/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo="sudo"
  $sudo apt-get update
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y "${missing[@]}"
fi
