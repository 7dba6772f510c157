#!/usr/bin/env bash
# Put the tables that the program prints into the pages that hold them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
for table in events counters settings; do
  page=docs/${table^^}.md
  "$build"/crocusbend catalogue "$table" >"$build/table"
  sed -i -e "/^<!-- table $table -->\$/,/^<!-- end -->\$/{/^<!-- /!d}" "$page"
  sed -i -e "/^<!-- table $table -->\$/r $build/table" "$page"
done
rm -f "$build/table"
