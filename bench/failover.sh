#!/usr/bin/env bash
# Fails instances under load: bash bench/failover.sh BUILD [LOSSES [KIND...]]
#
# Kinds: kill (node and target get SIGKILL and restart as new processes), stop
# (node and target are stopped for longer than a lease and then continue), node
# (only the node gets SIGKILL).  A key's unavailable time runs from the last
# answer of its old owner's target to the first answer of another target.
set -u
. "$(dirname "$0")/lib.sh"

NODES=6
RATE=2000
KEYS=40
PERIOD_S=3    # from one loss to the next
DOWN_S=1.2    # from a loss to the restart; longer than a lease
BEFORE_S=3    # of load before the first loss
AFTER_S=3     # of load after the last loss
IN_FLIGHT=2000 # more requests than can wait for a stopped instance
TARGET_OPTIONS="--fenced --check-deadline"

declare -A generation

# start_instance N: starts target and node.  Each target process has its own
# name, so that its journal is not mistaken for its predecessor's.
start_instance ()
{
  generation[$1]=$((${generation[$1]:-0} + 1))
  local name="target$1-${generation[$1]}"
  # shellcheck disable=SC2086
  start_target "$1" $TARGET_OPTIONS --name "$name" \
    --journal "$CLUSTER_DIR/$name.journal" || return 1
  start_node "$1" target.fenced=yes
}

target_name () { echo "target$1-${generation[$1]}"; }

boot_ns ()
{
  echo $(($(now_ms) * 1000000))
}

lose_kill ()
{
  kill_process "node$1" KILL
  kill_process "target$1" KILL
  reap_process "node$1"
  reap_process "target$1"
  sleep "$DOWN_S"
  start_instance "$1"
}

lose_stop ()
{
  kill_process "node$1" STOP
  kill_process "target$1" STOP
  sleep "$DOWN_S"
  kill_process "target$1" CONT
  kill_process "node$1" CONT
}

lose_node ()
{
  crash_process "node$1"
  sleep "$DOWN_S"
  start_node "$1" target.fenced=yes
}

# lose_all KIND LOSSES: causes a loss every PERIOD_S, at the nodes in turn.
lose_all ()
{
  local i n next
  next=$(($(now_ms) + BEFORE_S * 1000))
  for i in $(seq "$2"); do
    while [ "$(now_ms)" -lt "$next" ]; do sleep 0.02; done
    n=$((i % NODES + 1))
    echo "$(boot_ns) $(target_name "$n")" >>"$CLUSTER_DIR/$1.losses"
    "lose_$1" "$n" || return 1
    next=$((next + PERIOD_S * 1000))
  done
}

# gaps KIND: prints "lost N MS" for each key that went to another target after
# loss N of its owner, and "moved 0 MS" for each other change of target.  A gap
# of more than 100 ms around a loss counts as lost whichever target owned the
# key, because the key may just have moved to the lost instance.  Answers that
# a stopped instance gives after it continues, to requests sent before it was
# stopped, are ignored.
gaps ()
{
  awk -v losses="$CLUSTER_DIR/$1.losses" '
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
    function is_stale_answer(target, sent, received,   i) {
      for (i = 1; i <= count; i++)
        if (lost_target[i] == target && received > loss_ns[i] + 100e6 \
            && sent < loss_ns[i] + 100e6)
          return 1
      return 0
    }
    BEGIN {
      while ((getline line < losses) > 0) {
        split (line, fields, " ")
        count++
        loss_ns[count] = fields[1]
        lost_target[count] = fields[2]
      }
    }
    /"event":"answer"/ && /"outcome":"answered"/ {
      key = text_field("key"); target = text_field("target")
      ns = number_field("receive_ns")
      if (is_stale_answer(target, number_field("send_ns"), ns)) next
      if (key in last && last_target[key] != target) {
        lost = 0
        for (i = 1; i <= count; i++)
          if (loss_ns[i] < ns && loss_ns[i] > last[key] - 100e6 \
              && (lost_target[i] == last_target[key] || ns - last[key] > 100e6))
            lost = i
        printf "%s %d %.1f\n", lost ? "lost" : "moved", lost, (ns - last[key]) / 1e6
      }
      last[key] = ns; last_target[key] = target
    }' "$CLUSTER_DIR/$1.journal"
}

lost_gaps () { awk '$1 == "lost" { print $3 }' "$CLUSTER_DIR/$1.gaps"; }
moved_gaps () { awk '$1 == "moved" { print $3 }' "$CLUSTER_DIR/$1.gaps"; }

print_figures ()
{
  local kind=$1 report=$CLUSTER_DIR/$1.report rule outcome
  gaps "$kind" >"$CLUSTER_DIR/$kind.gaps"
  print_figure "failover.$kind.losses" "$(wc -l <"$CLUSTER_DIR/$kind.losses")" losses
  print_figure "failover.$kind.keys_lost" "$(lost_gaps "$kind" | wc -l)" keys
  print_figure "failover.$kind.unavailable_p50" "$(lost_gaps "$kind" | percentile 50)" ms
  print_figure "failover.$kind.unavailable_p99" "$(lost_gaps "$kind" | percentile 99)" ms
  print_figure "failover.$kind.unavailable_worst" "$(lost_gaps "$kind" | percentile 100)" ms
  print_figure "failover.$kind.moved_keys" "$(moved_gaps "$kind" | wc -l)" keys
  print_figure "failover.$kind.moved_gap_p99" "$(moved_gaps "$kind" | percentile 99)" ms
  print_figure "failover.$kind.moved_gap_worst" "$(moved_gaps "$kind" | percentile 100)" ms
  print_figure "failover.$kind.requests" "$(report_value "$report" requests)" requests
  for outcome in answered not-run unknown unsent lost; do
    print_figure "failover.$kind.$outcome" "$(report_value "$report" outcome "$outcome")" requests
  done
  print_figure "failover.$kind.foreign" "$(report_value "$report" foreign_answers)" answers
  "$CLUSTER_BUILD/standin_history" "$CLUSTER_DIR/$kind.journal" \
    "$CLUSTER_DIR"/target*-*.journal "$CLUSTER_DIR"/node*.err \
    >"$CLUSTER_DIR/$kind.violations"
  for rule in twice not-run overlap epoch shared-epoch; do
    print_figure "failover.$kind.violations_$rule" \
      "$(grep -c ": $rule: " "$CLUSTER_DIR/$kind.violations")" violations
  done
  print_figure "failover.$kind.violations" \
    "$(awk '/ violations$/ { print $1 }' "$CLUSTER_DIR/$kind.violations")" violations
  grep -v ' violations$' "$CLUSTER_DIR/$kind.violations" | head -n 20 >&2
}

run_kind ()
{
  local kind=$1 losses=$2 n
  generation=()
  cluster_open "$build"
  start_store || return 1
  for n in $(seq "$NODES"); do
    start_instance "$n" || return 1
  done
  for n in $(seq "$NODES"); do
    wait_ready "node$n" || return 1
  done
  mark_paying "$NODES" || return 1
  wait_until 60 all_targets_serve "$NODES" || return 1
  # shellcheck disable=SC2046
  start_process load "$CLUSTER_BUILD/crocusbend" load \
    --service "$CLUSTER_SERVICE" $(node_options "$NODES") --rate "$RATE" \
    --keys "$KEYS" --write-share 50 --deadline-ms 500 --in-flight "$IN_FLIGHT" \
    --seconds $((BEFORE_S + losses * PERIOD_S + AFTER_S)) \
    --journal "$CLUSTER_DIR/$kind.journal"
  lose_all "$kind" "$losses" || return 1
  wait "${CLUSTER_PID[load]}"
  unset "CLUSTER_PID[load]"
  cp "$CLUSTER_DIR/load.out" "$CLUSTER_DIR/$kind.report"
  stop_all
  print_figures "$kind"
  cluster_close
}

build=$1
losses=${2:-30}
shift
shift
[ $# -gt 0 ] || set -- kill stop
for kind in "$@"; do
  run_kind "$kind" "$losses" || exit 1
done
