#!/usr/bin/env bash
# Computes the tables of docs/CAPACITY.md from the figures in bench/results/.
# Usage:
#   bash bench/capacity.sh          print the names of the tables
#   bash bench/capacity.sh TABLE    print one table
#   bash bench/capacity.sh --write  replace all tables in the page
set -euo pipefail
cd "$(dirname "$0")/.."

TABLES="control data store faults"

print_table ()
{
  cat bench/results/*.figures | awk -v table="$1" -f bench/capacity.awk
}

write_page ()
{
  local page=docs/CAPACITY.md table table_file
  table_file=$(mktemp)
  for table in $TABLES; do
    print_table "$table" >"$table_file"
    sed -i -e "/^<!-- table $table -->\$/,/^<!-- end -->\$/{/^<!-- /!d}" \
      -e "/^<!-- table $table -->\$/r $table_file" "$page"
  done
  rm -f "$table_file"
}

case ${1:-} in
  '') echo "$TABLES" ;;
  --write) write_page ;;
  *) print_table "$1" ;;
esac
