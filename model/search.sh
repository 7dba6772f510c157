# Searches model/ownership.pml: bash model/search.sh [-DNAME[=VALUE]...]
#
# Prints "holds" when the whole state space was searched without an error,
# "violated" when an assertion failed, otherwise "unfinished" and the last
# lines of the search.  Environment:
#   MODEL_DEPTH       longest run in steps; a small value finds a violation
#                     near the start early, but such a search never "holds"
#   MODEL_SECONDS     limit of the search's processor time, so that its result
#                     does not depend on what else the machine does
#   MODEL_MEMORY_MB   memory limit of the search
#   MODEL_HASH_BITS   size of the state table, log2 of its entries
#   MODEL_STATS=1     also print the number of states
#   MODEL_TRACE=1     also print the steps to a violation
set -u
here=$(cd "$(dirname "$0")" && pwd)
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
cd "$work_dir" || exit 1
spin -a "$@" "$here/ownership.pml" >spin.out 2>&1 \
  && gcc -O2 -w -DSAFETY -DHC4 -DNOREDUCE \
    -DMEMLIM="${MODEL_MEMORY_MB:-3500}" -o pan pan.c 2>>spin.out \
  || { cat spin.out; exit 1; }
(
  ulimit -t "${MODEL_SECONDS:-100}"
  exec ./pan -m"${MODEL_DEPTH:-2000000}" -w"${MODEL_HASH_BITS:-24}"
) >pan.out 2>&1
if grep -q 'assertion violated' pan.out; then
  echo violated
  [ -z "${MODEL_TRACE:-}" ] || spin -t -p -g "$@" "$here/ownership.pml"
elif grep -q 'errors: 0' pan.out \
    && ! grep -q 'Search not completed\|depth too small' pan.out; then
  echo holds
else
  echo unfinished
  tail -n 20 pan.out >&2
fi
[ -z "${MODEL_STATS:-}" ] || grep 'states, stored' pan.out
