#!/usr/bin/env bash
# Run every scripted test: test/script/*.test, each a bash script that gets
# the build folder as its first argument and prints what the .out file beside
# it holds.
set -u
build=$1
here=$(dirname "$0")
. "$here/../lib/ports.sh"
passed=0
failed=0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for t in "$here"/*.test; do
  [ -e "$t" ] || continue
  name=$(basename "$t" .test)
  if timeout 120 bash "$t" "$build" >"$work/out" 2>"$work/err" \
      && diff -u "$here/$name.out" "$work/out"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $name"
    tail -n 20 "$work/err"
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
