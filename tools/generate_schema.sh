#!/usr/bin/env bash
# Regenerates the committed code in schema/generated; with arguments, only for
# the given .proto files.
set -euo pipefail
cd "$(dirname "$0")/../schema"
if [ "$#" -eq 0 ]; then
  set -- ./*.proto
fi
protoc --cpp_out=generated "$@"
