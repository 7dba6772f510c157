#!/usr/bin/env bash
# Measures the cost of routing: bash bench/route.sh BUILD [NODES...]
#
# One run compares direct requests to a target, requests through one node and
# requests with one hop between two nodes; it then measures clusters of each
# size in NODES (1 2 4 8 16 32 64).  Half load is 3,600 requests/s at a node.
# For one hop each node gets only keys that the other owns: it carries 3,600/s
# as the callers' node and 3,600/s as the owner's node.
set -u
. "$(dirname "$0")/lib.sh"

HALF_LOAD=3600
LOAD_S=4
KEYS=1000
WRITES="--write-share 20"
CLUSTER_RATE=100 # requests/s for each node of a cluster
IDLE_S=4

build=$1
shift
[ $# -gt 0 ] || set -- 1 2 4 8 16 32 64
failures=0

print_latency ()
{
  local name=$1 report=$CLUSTER_DIR/$2.report p
  print_figure "$name.rate" "$(report_value "$report" answered_per_s)" requests/s
  for p in p50 p99 p99.9; do
    print_figure "$name.$p" "$(report_value "$report" latency_us "$p")" us
  done
}

# sum_processor NAME...: prints the processor time of processes, in ms.
sum_processor ()
{
  local name total=0
  for name in "$@"; do
    total=$((total + $(processor_ms "$name")))
  done
  echo "$total"
}

sum_memory ()
{
  local name total=0
  for name in "$@"; do
    total=$((total + $(memory_kb "$name")))
  done
  echo "$total"
}

# measure NAME PROCESS -- LOAD OPTION...: runs a load and prints its latency
# and the processor time of PROCESS for each answered request.
measure ()
{
  local name=$1 process=$2 before answered
  shift 3
  before=$(processor_ms "$process")
  # shellcheck disable=SC2086
  run_load "$name" --keys "$KEYS" $WRITES --seconds "$LOAD_S" "$@" \
    || failures=$((failures + 1))
  answered=$(report_value "$CLUSTER_DIR/$name.report" outcome answered)
  print_latency "route.$name" "$name"
  print_figure "route.$name.${process%%[0-9]*}_processor" \
    "$(ratio $((($(processor_ms "$process") - before) * 1000)) "$answered")" \
    us/request
}

# is_held NAME: whether the load with report NAME kept its schedule.
is_held ()
{
  local report=$CLUSTER_DIR/$1.report
  awk -v all="$(report_value "$report" requests)" \
    -v missed="$(report_value "$report" missed)" \
    -v answered="$(report_value "$report" outcome answered)" \
    -v p99="$(report_value "$report" latency_us p99)" 'BEGIN {
      exit !(answered >= 0.999 * (all + missed) && p99 < 50000)
    }'
}

# print_highest NAME OPTION...: prints the highest of several rates that is
# held: 99.9% of the scheduled requests answered, with a p99 below 50 ms.
print_highest ()
{
  local name=$1 rate held=0
  shift
  for rate in 3600 7200 10800 14400 18000; do
    # shellcheck disable=SC2086
    run_load "$name.highest" --keys "$KEYS" $WRITES --seconds 2 --rate "$rate" "$@"
    is_held "$name.highest" || break
    held=$rate
  done
  print_figure "route.$name.highest_held" "$held" requests/s
}

measure_one_node ()
{
  cluster_open "$build"
  start_cluster 1 || return 1
  local target node
  target="--direct --node 127.0.0.1:$(target_port 1)"
  node="--node 127.0.0.1:$(callers_port 1)"
  print_figure route.node.memory_idle "$(memory_kb node1)" KB
  # shellcheck disable=SC2086
  {
    measure direct target1 -- $target --rate "$HALF_LOAD"
    measure local node1 -- $node --rate "$HALF_LOAD"
    print_figure route.node.memory_loaded "$(memory_kb node1)" KB
    print_highest direct $target
    print_highest local $node
  }
  compare local direct
  cluster_close
}

# compare NAME BASE: prints the latency of NAME relative to BASE.
compare ()
{
  local p
  for p in p50 p99; do
    print_figure "route.$1_over_$2.$p" "$(ratio \
      "$(report_value "$CLUSTER_DIR/$1.report" latency_us "$p")" \
      "$(report_value "$CLUSTER_DIR/$2.report" latency_us "$p")")" ratio
  done
  print_figure "route.$1_less_$2.p99" "$(awk \
    -v a="$(report_value "$CLUSTER_DIR/$1.report" latency_us p99)" \
    -v b="$(report_value "$CLUSTER_DIR/$2.report" latency_us p99)" \
    'BEGIN { printf "%.1f", a - b }')" us
}

# keys_of TARGET: prints the keys that TARGET answered in the probe's journal.
keys_of ()
{
  grep "\"event\":\"answer\".*\"target\":\"$1\"" "$CLUSTER_DIR/probe.journal" \
    | sed 's/.*"key":"\([^"]*\)".*/\1/' | sort -u
}

# cross_load NAME RATE SECONDS: sends each node requests at RATE for the keys
# that the other node owns.
cross_load ()
{
  local name=$1 rate=$2 seconds=$3
  # shellcheck disable=SC2086
  start_process load2 "$CLUSTER_BUILD/crocusbend" load \
    --service "$CLUSTER_SERVICE" --node "127.0.0.1:$(callers_port 2)" \
    --key-file "$CLUSTER_DIR/keys1" $WRITES --seconds "$seconds" --rate "$rate"
  # shellcheck disable=SC2086
  run_load "$name" --node "127.0.0.1:$(callers_port 1)" \
    --key-file "$CLUSTER_DIR/keys2" $WRITES --seconds "$seconds" \
    --rate "$rate" || failures=$((failures + 1))
  wait "${CLUSTER_PID[load2]}" || failures=$((failures + 1))
  unset "CLUSTER_PID[load2]"
}

measure_one_hop ()
{
  local before used rate held=0
  cluster_open "$build"
  start_cluster 2 || return 1
  wait_until 60 all_targets_serve 2 || return 1
  # shellcheck disable=SC2046
  run_load probe $(node_options 2) --keys "$KEYS" --rate 4000 --seconds 2 \
    --journal "$CLUSTER_DIR/probe.journal"
  keys_of target1 >"$CLUSTER_DIR/keys1"
  keys_of target2 >"$CLUSTER_DIR/keys2"
  # shellcheck disable=SC2086
  run_load direct --direct --node "127.0.0.1:$(target_port 2)" \
    --key-file "$CLUSTER_DIR/keys2" $WRITES --seconds "$LOAD_S" \
    --rate "$HALF_LOAD"
  print_latency route.hop_direct direct
  before=$(sum_processor node1 node2)
  cross_load hop "$HALF_LOAD" "$LOAD_S"
  used=$(($(sum_processor node1 node2) - before))
  print_latency route.hop hop
  print_figure route.hop.share "$(ratio \
    "$(report_value "$CLUSTER_DIR/hop.report" target target2)" \
    "$(report_value "$CLUSTER_DIR/hop.report" outcome answered)")" of_answers
  print_figure route.hop.node_processor "$(ratio $((used * 1000)) \
    $((2 * $(report_value "$CLUSTER_DIR/hop.report" outcome answered))))" us/request
  compare hop direct
  for rate in 3600 5400 7200 9000; do
    cross_load hop.highest "$rate" 2
    is_held hop.highest || break
    held=$rate
  done
  print_figure route.hop.highest_held "$held" requests/s
  cluster_close
}

# measure_cluster COUNT: measures a cluster of COUNT nodes, idle and under a
# load proportional to its size.
measure_cluster ()
{
  local count=$1 name=route.nodes$1 nodes before start
  nodes=$(seq -f 'node%g' "$count")
  cluster_open "$build"
  start_cluster "$count" || return 1
  wait_until 60 all_targets_serve "$count" \
    || echo "not every target of $count nodes answered within 60 s" >&2
  # shellcheck disable=SC2086
  {
    print_figure "$name.memory_idle" "$(ratio "$(sum_memory $nodes)" "$count")" KB/node
    before=$(sum_processor $nodes)
    start=$(now_ms)
    sleep "$IDLE_S"
    print_figure "$name.processor_idle" "$(ratio \
      $((($(sum_processor $nodes) - before) * 100)) \
      $((($(now_ms) - start) * count)))" %/node
    before=$(sum_processor $nodes)
    run_load size $(node_options "$count") --keys "$KEYS" $WRITES \
      --seconds "$LOAD_S" --rate $((CLUSTER_RATE * count)) \
      || failures=$((failures + 1))
    print_latency "$name" size
    print_figure "$name.node_processor" "$(ratio \
      $((($(sum_processor $nodes) - before) * 1000)) \
      "$(report_value "$CLUSTER_DIR/size.report" outcome answered)")" us/request
    print_figure "$name.memory_loaded" "$(ratio "$(sum_memory $nodes)" "$count")" \
      KB/node
  }
  cluster_close
}

measure_one_node || exit 1
measure_one_hop || exit 1
for count in "$@"; do
  measure_cluster "$count" || exit 1
done
[ "$failures" -eq 0 ]
