#!/usr/bin/env bash
# An upstream in trouble answers with bodies that have no end, until the caller
# closes.  The script plays the platform: it kills the node when that uses more
# memory than the settings allow it.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin/lib.sh"
start_store
write_settings 1 plain
write_settings 2 sound
start_upstream 1 plain i-plain-1
start_upstream 2 sound i-sound-1
for n in 1 2; do start_node $n; done
configure 2
for n in 1 2; do wait_for 10 is_ready $n || cannot_run "node $n is not ready"; done
wait_for 10 answers_200 1 first GET /read/a || cannot_run "no answer"
wait_for 10 answers_200 1 second POST /sound/a || cannot_run "no answer from the other service"
sleep 3.5 # in touch
# The platform: a process over its memory is killed.
memory_kb () { awk '/^VmRSS/ { print $2 }' "/proc/$1/status" 2>/dev/null; }
watch_memory () { # watch_memory PID
  local kb peak=0
  while kb=$(memory_kb "$1") && [ -n "$kb" ]; do
    [ "$kb" -gt "$peak" ] && peak=$kb && echo "$peak" >"$work/peak"
    if [ "$kb" -gt $((260 * 1024)) ]; then # memory_mb of the settings
      note "the node uses $kb KiB, more than 260 MiB: the platform kills it"
      kill -KILL "$1"
      return
    fi
    sleep 0.01
  done
}
watch_memory "${node_pid[1]}" 2>/dev/null &
pids+=($!)
[ "$TROUBLE" = 1 ] && tell i-plain-1 "endless on"
sleep 0.1
callers=()
# Six clients that keep their connections, at the sound upstream.
for n in 1 2 3 4 5 6; do
  "$programs"/review/caller --kept --port "$(callers 1)" --record "$record" \
    "before$n:POST:/sound/a?ms=20" "pay$n:POST:/sound/a?ms=1500" \
    >>"$work/calls" &
  callers+=($!)
done
sleep 0.4
for n in 1 2 3 4 5 6 7 8; do
  call 1 "read$n" GET "/read/endless?ms=200" >>"$work/calls" &
  callers+=($!)
done
wait "${callers[@]}" 2>/dev/null
note "peak of the node's memory: $(cat "$work/peak") KiB"
lost=$(grep -c 'client unanswered pay' "$record")
finish $((lost > 3)) "peak $(cat "$work/peak") KiB of 266240; requests at the sound upstream that ended without an answer: $lost"
