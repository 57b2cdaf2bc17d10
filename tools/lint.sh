#!/usr/bin/env bash
# Checks format and lint rules. With arguments, checks only those files.
# Results of clang-tidy are kept by the digest of the preprocessed source in
# build/lint, so that an unchanged file is not analysed again.
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
