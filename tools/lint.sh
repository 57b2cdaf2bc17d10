#!/usr/bin/env bash
# Checks formatting with clang-format and lint rules with clang-tidy. With
# arguments, checks only those files.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.h' '*.cpp' | grep -v '^schema/generated/')
fi
clang-format --dry-run -Werror "${files[@]}"
echo "clang-format: ${#files[@]} files clean"
sources=()
for file in "${files[@]}"; do
  case "$file" in
    tests/*|bench/*|examples/*) ;;
    *.cpp) sources+=("$file") ;;
  esac
done
[ "${#sources[@]}" -gt 0 ] || exit 0
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "clang-tidy: ${#sources[@]} files clean"
