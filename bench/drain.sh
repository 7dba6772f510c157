#!/usr/bin/env bash
# Drains nodes under load: bash bench/drain.sh BUILD [DRAINS]
#
# Nodes 2 to NODES are stopped in turn, alternately by SIGTERM and by `ask
# drain`, and started again.  Callers of node 1, which keeps running, must not
# notice.  A few callers send to the drained nodes; they may only see refused
# connections (unsent) while a node is down.
set -u
. "$(dirname "$0")/lib.sh"

NODES=4
KEYS=40
RATE=1200
ENTRY_RATE=150
SERVICE_MS=10
EXIT_WAIT_S=15 # longest wait for a drained node to exit
AFTER_S=1      # from the restarted node's readiness to the next drain
BEFORE_S=2     # of load before the first drain

# boot_ns: prints the time on the clock of the journals, in steps of 10 ms.
boot_ns () { echo $(($(now_ms) * 1000000)); }

drain_by_signal () { kill_process "node$1" TERM; }

drain_by_ask ()
{
  "$CLUSTER_BUILD/crocusbend" ask --node "127.0.0.1:$(operator_port 1)" \
    "drain n$1 because \"bench\"" >>"$CLUSTER_DIR/ask.out" 2>&1
}

# drain_one I: drains and restarts a node, and appends a line "NODE BEGIN_NS
# EXIT_NS" to the file drains.
drain_one ()
{
  local n=$(($1 % (NODES - 1) + 2)) method=signal begin_ns
  [ $(($1 % 2)) -eq 0 ] || method=ask
  begin_ns=$(boot_ns)
  "drain_by_$method" "$n"
  wait_until "$EXIT_WAIT_S" has_exited "node$n" || return 1
  echo "$n $begin_ns $(boot_ns)" >>"$CLUSTER_DIR/drains"
  reap_process "node$n" || echo "node$n ended with status $?" >&2
  start_node "$n" target.fenced=yes
  wait_ready "node$n" && sleep "$AFTER_S"
}

# gaps: prints "QUIET_MS GAP_MS" for each change of a key's target.  QUIET_MS
# is the time from the last answer of the old target to the first answer of the
# new one; GAP_MS is the part of it that the caller of that first answer
# waited.
gaps ()
{
  awk '
    function text_field(name,   at, rest) {
      at = index ($0, "\"" name "\":\"")
      if (at == 0) return ""
      rest = substr ($0, at + length (name) + 4)
      return substr (rest, 1, index (rest, "\"") - 1)
    }
    function number_field(name,   at) {
      at = index ($0, "\"" name "\":")
      return substr ($0, at + length (name) + 3) + 0
    }
    /"event":"answer"/ && /"outcome":"answered"/ {
      key = text_field("key"); target = text_field("target")
      ns = number_field("receive_ns")
      sent = number_field("send_ns")
      if (key in last && last_target[key] != target)
        printf "%.1f %.1f\n", (ns - last[key]) / 1e6, \
               (ns - (sent > last[key] ? sent : last[key])) / 1e6
      last[key] = ns; last_target[key] = target
    }' "$CLUSTER_DIR/main.journal"
}

# last_begins: prints for each drain the milliseconds until the last request
# began at the node's target.
last_begins ()
{
  local n begin_ns exit_ns
  while read -r n begin_ns exit_ns; do
    grep '"event":"begin"' "$CLUSTER_DIR/target$n.journal" \
      | sed -n 's/.*"ns":\([0-9]*\).*/\1/p' \
      | awk -v from="$begin_ns" -v to="$exit_ns" '
          $1 >= from && $1 <= to && $1 > last { last = $1 }
          END { printf "%.0f\n", last ? (last - from) / 1e6 : 0 }'
  done <"$CLUSTER_DIR/drains"
}

print_outcomes ()
{
  local outcome
  for outcome in answered not-run unknown unsent lost; do
    print_figure "drain.$1.$outcome" \
      "$(report_value "$CLUSTER_DIR/$1.report" outcome "$outcome")" requests
  done
}

print_figures ()
{
  gaps >"$CLUSTER_DIR/gaps"
  last_begins >"$CLUSTER_DIR/last"
  print_figure drain.drains "$(wc -l <"$CLUSTER_DIR/drains")" drains
  print_outcomes callers
  print_outcomes entry
  print_figure drain.moved_keys "$(wc -l <"$CLUSTER_DIR/gaps")" keys
  for p in 50 99 100; do
    print_figure "drain.gap_p$p" "$(cut -d ' ' -f 2 "$CLUSTER_DIR/gaps" | percentile $p)" ms
  done
  print_figure drain.gaps_over_100 "$(awk '$2 > 100' "$CLUSTER_DIR/gaps" | wc -l)" keys
  print_figure drain.quiet_p50 "$(cut -d ' ' -f 1 "$CLUSTER_DIR/gaps" | percentile 50)" ms
  print_figure drain.key_pause "$((1000 * KEYS / RATE))" ms
  print_figure drain.last_work_p50 "$(percentile 50 <"$CLUSTER_DIR/last")" ms
  print_figure drain.last_work_worst "$(percentile 100 <"$CLUSTER_DIR/last")" ms
  print_figure drain.gone_worst "$(awk '{ print ($3 - $2) / 1e6 }' \
    "$CLUSTER_DIR/drains" | percentile 100)" ms
  "$CLUSTER_BUILD/standin_history" "$CLUSTER_DIR"/main.journal \
    "$CLUSTER_DIR"/entry.journal "$CLUSTER_DIR"/target*.journal \
    "$CLUSTER_DIR"/node*.err >"$CLUSTER_DIR/violations" 2>/dev/null
  print_figure drain.violations \
    "$(awk '/ violations$/ { print $1 }' "$CLUSTER_DIR/violations")" violations
  grep -v ' violations$' "$CLUSTER_DIR/violations" | head -n 10 >&2
}

start_instances ()
{
  local n
  start_store || return 1
  for n in $(seq "$NODES"); do
    start_target "$n" --fenced --service-ms "$SERVICE_MS" || return 1
    start_node "$n" target.fenced=yes
  done
  for n in $(seq "$NODES"); do
    wait_ready "node$n" || return 1
  done
  mark_paying "$NODES" || return 1
  wait_until 60 all_targets_serve "$NODES"
}

# start_load NAME OPTION...: starts a load that lasts for all drains.
start_load ()
{
  local name=$1
  shift
  start_process "$name" "$CLUSTER_BUILD/crocusbend" load \
    --service "$CLUSTER_SERVICE" --keys "$KEYS" \
    --write-share 50 --deadline-ms 2000 --seconds "$LOAD_S" "$@"
}

main ()
{
  local i drains=${2:-20}
  LOAD_S=$((BEFORE_S + drains * (AFTER_S + 3)))
  cluster_open "$1"
  start_instances || return 1
  start_load callers --node "127.0.0.1:$(callers_port 1)" --rate "$RATE" \
    --journal "$CLUSTER_DIR/main.journal"
  # shellcheck disable=SC2046
  start_load entry $(node_options "$NODES" | cut -d ' ' -f 3-) \
    --rate "$ENTRY_RATE" --journal "$CLUSTER_DIR/entry.journal" --seed 2
  sleep "$BEFORE_S"
  for i in $(seq "$drains"); do
    drain_one "$i" || return 1
  done
  is_alive callers || echo "the load ended before the last drain" >&2
  wait "${CLUSTER_PID[callers]}" "${CLUSTER_PID[entry]}"
  cp "$CLUSTER_DIR/callers.out" "$CLUSTER_DIR/callers.report"
  cp "$CLUSTER_DIR/entry.out" "$CLUSTER_DIR/entry.report"
  unset "CLUSTER_PID[callers]" "CLUSTER_PID[entry]"
  stop_all
  print_figures
}

main "$@"
