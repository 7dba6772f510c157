#!/usr/bin/env bash
# Makes keys of one target hot at the same time:
# bash bench/hotkey.sh BUILD [POLICY...]
#
# A uniform load over 400 keys runs all the time.  For HOT_S seconds, HOT_KEYS
# keys that target 1 owns get HOT_RATE requests a second in addition.  All
# requests take the same time at the targets, so the answers a second of a
# target measure its load.
set -u
. "$(dirname "$0")/lib.sh"

NODES=4
SERVICE_MS=5    # with 12 slots a target serves at most 2400 requests/s
KEYS=400
UNIFORM_RATE=1200
HOT_KEYS=6
HOT_RATE=1500   # requests/s of all hot keys together
BEFORE_S=3
HOT_S=10
AFTER_S=15

# answers JOURNAL...: prints "KEY TARGET NS" for each answer.
answers ()
{
  awk '
    function text_field(name,   at, rest) {
      at = index ($0, "\"" name "\":\"")
      if (at == 0) return ""
      rest = substr ($0, at + length (name) + 4)
      return substr (rest, 1, index (rest, "\"") - 1)
    }
    /"event":"answer"/ && /"outcome":"answered"/ {
      at = index ($0, "\"receive_ns\":")
      printf "%s %s %.0f\n", text_field("key"), text_field("target"),
             substr ($0, at + 13) + 0
    }' "$@"
}

choose_hot_keys ()
{
  run_load find $(node_options "$NODES") --rate 1500 --seconds 2 \
    --keys "$KEYS" --journal "$CLUSTER_DIR/find.journal"
  answers "$CLUSTER_DIR/find.journal" \
    | awk '$2 == "target1" { print $1 }' | sort -u | head -n "$HOT_KEYS" \
    >"$CLUSTER_DIR/hot.keys"
}

# moved_ms FILE FROM_NS AWAY: prints "MS KEY" for each key in FILE: the time
# until its first answer from a target other than 1 (AWAY 1) or from target 1
# (AWAY 0).
moved_ms ()
{
  awk -v from="$2" -v away="$3" '
    NR == FNR { hot[$1] = 1; next }
    !($1 in hot) || $3 < from || $1 in done { next }
    ($2 != "target1") == (away == 1) {
      done[$1] = 1; printf "%.0f %s\n", ($3 - from) / 1e6, $1 }' \
    "$1" "$CLUSTER_DIR/answers"
}

# imbalance FROM_NS TO_NS: prints the median over windows of 1 s of the busiest
# target's answers divided by the mean of all targets.
imbalance ()
{
  awk -v from="$1" -v to="$2" -v targets="$NODES" '
    $3 >= from && $3 < to {
      w = int (($3 - from) / 1e9); n[w, $2]++; sum[w]++
      if (n[w, $2] > highest[w]) highest[w] = n[w, $2] }
    END { for (w in sum) print highest[w] * targets / sum[w] }' \
    "$CLUSTER_DIR/answers" | percentile 50
}

count_failed ()
{
  local name=$1 outcome sum=0 count
  for outcome in not-run unknown unsent lost; do
    count=$(report_value "$CLUSTER_DIR/$name.report" outcome "$outcome")
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}

print_figures ()
{
  local p="hotkey.$1" hot_ns=$2 cool_ns=$3 ns_per_s=1000000000
  answers "$CLUSTER_DIR"/even.journal "$CLUSTER_DIR"/hot.journal \
    | sort -n -k 3 >"$CLUSTER_DIR/answers"
  moved_ms "$CLUSTER_DIR/hot.keys" "$hot_ns" 1 >"$CLUSTER_DIR/moved"
  cut -d ' ' -f 2 "$CLUSTER_DIR/moved" >"$CLUSTER_DIR/moved.keys"
  moved_ms "$CLUSTER_DIR/moved.keys" "$cool_ns" 0 >"$CLUSTER_DIR/back"
  print_figure "$p.hot_keys" "$(wc -l <"$CLUSTER_DIR/hot.keys")" keys
  print_figure "$p.moved_keys" "$(wc -l <"$CLUSTER_DIR/moved")" keys
  print_figure "$p.moved_p50" "$(cut -d " " -f 1 "$CLUSTER_DIR/moved" | percentile 50)" ms
  print_figure "$p.moved_worst" "$(cut -d " " -f 1 "$CLUSTER_DIR/moved" | percentile 100)" ms
  print_figure "$p.imbalance_even" \
    "$(imbalance $((hot_ns - 2 * ns_per_s)) "$hot_ns")" ratio
  print_figure "$p.imbalance_before" \
    "$(imbalance "$hot_ns" $((hot_ns + ns_per_s)))" ratio
  print_figure "$p.imbalance_after" \
    "$(imbalance $((cool_ns - 5 * ns_per_s)) "$cool_ns")" ratio
  print_figure "$p.back_p50" "$(cut -d " " -f 1 "$CLUSTER_DIR/back" | percentile 50)" ms
  print_figure "$p.back_worst" "$(cut -d " " -f 1 "$CLUSTER_DIR/back" | percentile 100)" ms
  print_figure "$p.key_moves" \
    "$(cat "$CLUSTER_DIR"/node*.err | grep ' 4007 ' | grep -c 'key=1')" moves
  print_figure "$p.requests" "$(($(report_value "$CLUSTER_DIR/even.report" requests) \
    + $(report_value "$CLUSTER_DIR/hot.report" requests)))" requests
  print_figure "$p.failed" "$(($(count_failed even) + $(count_failed hot)))" requests
  "$CLUSTER_BUILD/standin_history" "$CLUSTER_DIR"/even.journal \
    "$CLUSTER_DIR"/hot.journal "$CLUSTER_DIR"/target*.journal \
    "$CLUSTER_DIR"/node*.err >"$CLUSTER_DIR/violations"
  print_figure "$p.violations" \
    "$(awk '/ violations$/ { print $1 }' "$CLUSTER_DIR/violations")" violations
  grep -v ' violations$' "$CLUSTER_DIR/violations" | head -n 10 >&2
}

# boot_ns: prints the time on the clock of the journals, in steps of 10 ms.
boot_ns () { echo $(($(now_ms) * 1000000)); }

# is_balanced: whether no slots were handed over since the last call.
is_balanced ()
{
  local moves
  sleep 2
  moves=$(cat "$CLUSTER_DIR"/node*.err | grep -c ' 4007 ')
  [ "$moves" -eq "${last_moves:--1}" ] && return 0
  last_moves=$moves
  return 1
}

start_instances ()
{
  local n
  start_store || return 1
  for n in $(seq "$NODES"); do
    start_target "$n" --fenced --service-ms "$SERVICE_MS" || return 1
    start_node "$n" target.fenced=yes placement.policy="$1"
  done
  for n in $(seq "$NODES"); do
    wait_ready "node$n" || return 1
  done
  mark_paying "$NODES" || return 1
  wait_until 60 all_targets_serve "$NODES" && wait_until 60 is_balanced
}

run_policy ()
{
  local hot_ns cool_ns even
  cluster_open "$build"
  start_instances "$1" || return 1
  choose_hot_keys
  run_load even $(node_options "$NODES") --rate "$UNIFORM_RATE" --keys "$KEYS" \
    --write-share 20 --deadline-ms 1000 --journal "$CLUSTER_DIR/even.journal" \
    --seconds $((BEFORE_S + HOT_S + AFTER_S)) &
  even=$!
  sleep "$BEFORE_S"
  hot_ns=$(boot_ns)
  run_load hot $(node_options "$NODES") --rate "$HOT_RATE" --seconds "$HOT_S" \
    --key-file "$CLUSTER_DIR/hot.keys" --write-share 20 --deadline-ms 1000 \
    --journal "$CLUSTER_DIR/hot.journal" --seed 7
  cool_ns=$(boot_ns)
  wait "$even"
  stop_all
  print_figures "$1" "$hot_ns" "$cool_ns"
  cluster_close
}

build=$1
shift
[ $# -gt 0 ] || set -- unavailable-time-first imbalance-first
for policy in "$@"; do
  run_policy "$policy" || exit 1
done
