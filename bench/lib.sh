# Functions shared by the benchmarks that run real processes, based on
# test/lib/cluster.sh.
. "$(dirname "${BASH_SOURCE[0]}")/../test/lib/cluster.sh"

# print_figure NAME VALUE UNIT: prints a line for bench/results/.
print_figure ()
{
  echo "figure $1 $2 $3"
}

# report_value FILE NAME...: prints the number after NAME in a load report.
report_value ()
{
  local file=$1
  shift
  awk -v name="$* " 'index ($0, name) == 1 { print $NF; exit }' "$file"
}

# percentile P: prints percentile P of the numbers on standard input, or 0 if
# there are none.
percentile ()
{
  sort -n | awk -v p="$1" '
    { v[NR] = $1 }
    END {
      i = int (NR * p / 100 + 0.999999)
      if (i < 1) i = 1
      print NR == 0 ? 0 : v[i]
    }'
}

# ratio A B: prints A / B with two decimals, or 0.00 if B is 0.
ratio ()
{
  awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f\n", b == 0 ? 0 : a / b }'
}

# start_cluster COUNT: starts the store and targets and nodes 1 to COUNT, and
# waits until the nodes are ready.
start_cluster ()
{
  local n
  start_store || return 1
  for n in $(seq "$1"); do
    start_target "$n" || return 1
  done
  for n in $(seq "$1"); do
    start_node "$n"
  done
  for n in $(seq "$1"); do
    wait_ready "node$n" || return 1
  done
  mark_paying "$1"
}

ask_node () { "$CLUSTER_BUILD/crocusbend" ask --node "127.0.0.1:$(operator_port "$1")" "$2"; }
is_in_force () { ask_node 1 "config in force" | grep -q "in force everywhere"; }

# mark_paying COUNT: marks the load's organisation as paying, because trials
# are rate limited, and waits until this is in force at all nodes.
mark_paying ()
{
  ask_node 1 "mark organisation load paying because \"bench\"" \
    >>"$CLUSTER_DIR/ask.out" || return 1
  wait_until "$CLUSTER_READY_S" is_in_force
}

# run_load NAME OPTION...: runs a load and writes its report to NAME.report.
run_load ()
{
  local name=$1
  shift
  "$CLUSTER_BUILD/crocusbend" load --service "$CLUSTER_SERVICE" "$@" \
    >"$CLUSTER_DIR/$name.report" 2>>"$CLUSTER_DIR/load.err"
}

# all_targets_serve COUNT: whether each of COUNT targets answers some key.
all_targets_serve ()
{
  run_load probe $(node_options "$1") --rate 1000 --seconds 0.5 --keys 500
  [ "$(grep -c '^target ' "$CLUSTER_DIR/probe.report")" -eq "$1" ]
}
