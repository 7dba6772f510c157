#!/usr/bin/env bash
# A request that isn't idempotent is shed by its upstream (503, not executed),
# and the node sends it once more.  A second copy of the first answer comes
# late, at the point where the next answer is expected.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin/lib.sh"
start_store
for n in 1 2; do
  write_settings $n keyed
  start_upstream $n keyed i-keyed-$n --sharded --brief
  start_node $n
done
configure 2
for n in 1 2; do wait_for 10 is_ready $n || cannot_run "node $n is not ready"; done
for key in 100 20000 40000 60000; do
  wait_for 20 answers_200 1 "first$key" GET /kread/a $key || cannot_run "no answer"
done
sleep 4 # in touch, and the keys are spread
find_key 1 65535 || cannot_run "the first upstream has none of the keys"
for n in $(seq 40); do call 2 "before$n" POST /kwrite/a "$key" >>"$work/calls"; done
[ "$TROUBLE" = 1 ] && tell i-keyed-1 "late-copy shed"
tell i-keyed-1 "shed 1"
sleep 0.1
note "a request that isn't idempotent, 300 ms of work, on key $key"
call 2 pair POST "/kwrite/pair?ms=300" "$key"
sleep 2
runs=$(grep -c ' run pair ' "$record")
status=$(sed -n 's/.*client answered pair status=\([0-9]*\).*/\1/p' "$record")
[ "$runs" -gt 0 ] || cannot_run "the request did not run"
finish $((runs > 1)) "the request ran $runs times, its answer: ${status:-none}"
