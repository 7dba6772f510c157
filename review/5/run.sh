#!/usr/bin/env bash
# A node stops in order (SIGTERM) while requests that a client has pipelined
# are at its upstream.
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
note "three idempotent requests in one go, 600 ms each"
target/review/caller --port "$(callers 1)" --record "$record" \
  a1:GET:/read/a?ms=600 a2:GET:/read/b?ms=600 a3:GET:/read/c?ms=600 &
caller=$!
sleep 0.2
if [ "$TROUBLE" = 1 ]; then
  note "SIGTERM of the node"
  kill -TERM "${node_pid[1]}"
fi
wait "$caller"
sleep 1
passed=$(grep -c ' run a[123] ' "$record")
lost=$(grep -c 'client unanswered a[123]' "$record")
finish $((lost > 0)) "passed on: $passed, without an answer: $lost"
