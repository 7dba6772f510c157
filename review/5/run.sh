#!/usr/bin/env bash
# An upstream leaves: it deregisters, and serves on for some seconds.  The node
# beside it is killed and started again.  Then a check-in arrives that the
# upstream had sent before it deregistered.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin/lib.sh"
start_store
write_settings 1 plain
start_upstream 1 plain i-plain-1
start_node 1
configure 2
wait_for 10 is_ready 1 || cannot_run "node 1 is not ready"
wait_for 10 answers_200 1 first GET /read/a || cannot_run "no answer"
sleep 3.5 # in touch
[ "$TROUBLE" = 1 ] && tell i-plain-1 "hold-beat"
tell i-plain-1 "beats off"
tell i-plain-1 "deregister"
sleep 0.3
grep -q 'deregister acknowledged=1' "$record" || cannot_run "it was not acknowledged"
if [ "$TROUBLE" = 1 ]; then
  note "node 1 is killed and started again"
  kill -KILL "${node_pid[1]}"
  wait "${node_pid[1]}" 2>/dev/null
  start_node 1
fi
wait_for 10 is_ready 1 || cannot_run "node 1 is not ready again"
sleep 3.5 # in touch again
[ "$TROUBLE" = 1 ] && tell i-plain-1 "late-beat"
sleep 0.5
for n in 1 2 3 4 5; do call 1 "later$n" GET /read/a; sleep 0.2; done
note "a request that isn't idempotent; 500 ms later the upstream exits, as it had announced"
call 1 pay POST "/write/a?ms=2000" &
caller=$!
sleep 0.5
kill -TERM "${upstream_pid[i-plain-1]}"
wait "$caller"
late=$(awk '$3 == "deregister" { acked = $1 }
  $3 == "run" && acked && $1 > acked + 2000 { late++ }
  END { print late + 0 }' "$record")
finish $((late > 0)) "requests that reached the upstream over 2000 ms after the ack: $late"
