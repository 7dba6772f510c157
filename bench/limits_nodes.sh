#!/usr/bin/env bash
# Measures trial limits across nodes, with real processes on this machine:
#   figure limits_rate_allowed_over_set   requests answered while trials exceed
#                                         their rate, after a warm-up, divided
#                                         by what the rate allows in that time
#   figure limits_rate_bytes              bytes a second of reports and grants,
#                                         at the node that sent most
#   figure limits_paying_*                paying requests alone and beside a
#                                         flood of trial requests
# Usage: bench/limits_nodes.sh BUILD [NODES [ORGANISATIONS]]
set -u
cd "$(dirname "$0")/.."
. test/lib/cluster.sh
. test/script/config_lib.sh
cluster_open "${1:-build}"
NODES=${2:-4}
ORGANISATIONS=${3:-8}
RATE=20        # trial limit of one organisation, requests/s
WARM_UP_S=3    # until the allowances are stable
MEASURE_S=10
SERVICE_MS=20

print_figure () { echo "figure $1 $2 $3"; }
ratio () { awk "BEGIN { printf \"%.3f\", $1 / $2 }"; }

# run_load NAME SECONDS OPTION...: runs a load and writes its output to
# NAME.load.
run_load ()
{
  local name=$1 seconds=$2
  shift 2
  # shellcheck disable=SC2046
  "$CLUSTER_BUILD"/crocusbend load $(node_options "$NODES") \
    --service "$CLUSTER_SERVICE" --seconds "$seconds" "$@" \
    >"$CLUSTER_DIR/$name.load" 2>&1
}

report_value ()
{
  awk -v words="$2 " 'index ($0, words) == 1 { n = $NF } END { print n + 0 }' \
    "$CLUSTER_DIR/$1.load"
}

# rate_bytes N: prints the bytes of reports and grants that node N has sent.
rate_bytes ()
{
  curl -s "http://127.0.0.1:$(operator_port "$1")/metrics" \
    | awk '$1 == "crocusbend_rate_bytes_out_total" { print $2 }'
}

trial_names ()
{
  local i
  for i in $(seq "$ORGANISATIONS"); do printf 'trial-%s:1,' "$i"; done \
    | sed 's/,$//'
}

measure_rate ()
{
  local n before=() highest=0 sent
  run_load warm "$WARM_UP_S" --rate $((RATE * ORGANISATIONS * 3)) \
    --organisations "$(trial_names)"
  for n in $(seq "$NODES"); do before[n]=$(rate_bytes "$n"); done
  run_load rate "$MEASURE_S" --rate $((RATE * ORGANISATIONS * 3)) \
    --organisations "$(trial_names)"
  for n in $(seq "$NODES"); do
    sent=$(($(rate_bytes "$n") - before[n]))
    [ "$sent" -le "$highest" ] || highest=$sent
  done
  print_figure limits_rate_allowed_over_set \
    "$(ratio "$(report_value rate 'outcome answered')" \
      $((RATE * ORGANISATIONS * MEASURE_S)))" ratio
  print_figure limits_rate_bytes $((highest / MEASURE_S)) bytes/s
}

measure_paying ()
{
  run_load "$1" "$MEASURE_S" --rate $((100 * NODES)) --organisations payer:1
  print_figure "limits_paying_$1_answered" \
    "$(ratio "$(report_value "$1" 'outcome answered')" "$(report_value "$1" requests)")" ratio
  print_figure "limits_paying_$1_p50" "$(report_value "$1" 'latency_us p50')" us
  print_figure "limits_paying_$1_p99" "$(report_value "$1" 'latency_us p99')" us
}

start_store || exit 1
for n in $(seq "$NODES"); do
  start_target "$n" --service-ms "$SERVICE_MS" || exit 1
  start_node "$n"
done
for n in $(seq "$NODES"); do wait_ready "node$n" || exit 1; done
wait_until "$CONFIG_WAIT_S" has_members 1 "$NODES"
ask 1 "create service $CLUSTER_SERVICE" "mark organisation payer paying" \
  "set limit $CLUSTER_SERVICE trial-rate $RATE/s" >/dev/null
for n in $(seq "$NODES"); do
  wait_until "$CONFIG_WAIT_S" is_at_revision "$n" 3 || exit 1
done
measure_rate
measure_paying alone
ask 1 "set limit $CLUSTER_SERVICE trial-rate 100000/s" \
  "set limit $CLUSTER_SERVICE trial-in-flight 1000" >/dev/null
run_load flood $((MEASURE_S + 2)) --rate $((2000 * NODES)) --in-flight 512 \
  --organisations "$(trial_names)" &
flood=$!
sleep 1
measure_paying beside
wait "$flood"
print_figure limits_flood_answered "$(report_value flood 'outcome answered')" requests
print_figure limits_flood_refused "$(report_value flood 'outcome not-run')" requests
print_figure load_average "$(cut -d ' ' -f 1 /proc/loadavg)" processes
