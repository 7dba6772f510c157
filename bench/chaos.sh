#!/usr/bin/env bash
# Random faults from a seed under load: bash bench/chaos.sh BUILD SEED SECONDS
#
# Six instances behind the proxy.  One fault after another, some of them at the
# same time: nodes and instances lost and brought back, nodes paused, targets
# frozen or closing connections, partitions, datagrams lost, the store down,
# slow or with answers lost.  Then all is mended, and each key must be served.
#   figure chaos.KIND.count N faults
#   figure chaos.KIND.unserved_worst MS ms  longest time without an answer of
#                                     any key that covers the fault's begin
# The schedule depends on the seed alone; its times are those of the machine.
set -u
cd "$(dirname "$0")/.."
. bench/lib.sh
FAULT_RATE=${FAULT_RATE:-1000}
. test/lib/fault.sh
NODES=6
PAUSE_MS=300        # least time between two faults
PAUSE_SPREAD_MS=900
FAULT_MS=200        # least time that a fault lasts
FAULT_SPREAD_MS=1300
KINDS=(lose_node lose_instance pause_node freeze_target close_answers cut_node
  cut_store cut_target lossy store_down store_slow lose_swaps)
declare -A mend_at mend_order

# pick LOW COUNT: a number from LOW, of COUNT; in $picked.
pick ()
{
  picked=$(($1 + (RANDOM * 32768 + RANDOM) % $2))
}

# later KEY COMMAND...: mend KEY by COMMAND after a random time.
later ()
{
  local key=$1
  shift
  pick "$FAULT_MS" "$FAULT_SPREAD_MS"
  mend_at[$key]=$(($(now_ms) + picked))
  mend_order[$key]="$*"
}

mend_due ()
{
  local key order now
  now=$(now_ms)
  for key in "${!mend_at[@]}"; do
    [ "${mend_at[$key]}" -le "$now" ] || continue
    order=${mend_order[$key]}
    unset "mend_at[$key]" "mend_order[$key]"
    $order
  done
}

mend_all ()
{
  local key
  for key in "${!mend_at[@]}"; do
    mend_at[$key]=0
  done
  mend_due
}

bring_instance ()
{
  start_fault_target "$1" && start_fault_node "$1"
}

resume_node ()
{
  kill_process "node$1" CONT
}

# clear_routes ROUTE...
clear_routes () { control_relay "$*" '"clear":true'; }

end_lossy ()
{
  control_relay "u1 u2 u3 u4 u5 u6" '"loss":0,"delay_ms":0,"duplicate":0'
}

# inject KIND N: one fault at instance N; what already has one is left alone.
inject ()
{
  local kind=$1 n=$2 key=n$2
  case $kind in
    store_* | lose_swaps) key=store ;;
    lossy) key=lossy ;;
  esac
  [ -z "${mend_at[$key]:-}" ] || return 1
  case $kind in
    lose_node)
      crash_process "node$n"
      later "$key" start_fault_node "$n" ;;
    lose_instance)
      crash_process "node$n"
      crash_process "target$n"
      later "$key" bring_instance "$n" ;;
    pause_node)
      kill_process "node$n" STOP
      later "$key" resume_node "$n" ;;
    freeze_target)
      control_target "$n" '{"freeze_ms":60000}'
      later "$key" control_target "$n" '{"freeze_ms":0}' ;;
    close_answers)
      control_target "$n" '{"close_before":5,"close_after":5,"close_mid":5}'
      later "$key" control_target "$n" \
        '{"close_before":0,"close_after":0,"close_mid":0}' ;;
    cut_node)
      control_relay "u$n t$n" '"cut":true'
      later "$key" clear_routes "u$n" "t$n" ;;
    cut_store)
      control_relay "s$n" '"cut":true'
      later "$key" clear_routes "s$n" ;;
    cut_target)
      control_relay "g$n" '"cut":true'
      later "$key" clear_routes "g$n" ;;
    lossy)
      control_relay "u1 u2 u3 u4 u5 u6" '"loss":30,"delay_ms":5,"duplicate":20'
      later "$key" end_lossy ;;
    store_down)
      control_store '{"down":true}'
      later "$key" control_store '{}' ;;
    store_slow)
      control_store '{"delay_ms":200}'
      later "$key" control_store '{}' ;;
    lose_swaps)
      control_store '{"lose_answers":2}'
      later "$key" control_store '{}' ;;
  esac
}

# run_faults SECONDS
run_faults ()
{
  local end=$(($(now_ms) + $1 * 1000)) next=0 kind n now
  while now=$(now_ms); [ "$now" -lt "$end" ]; do
    mend_due
    if [ "$now" -ge "$next" ]; then
      pick 0 "${#KINDS[@]}"
      kind=${KINDS[$picked]}
      pick 1 "$NODES"
      n=$picked
      pick "$PAUSE_MS" "$PAUSE_SPREAD_MS"
      next=$((now + picked))
      if inject "$kind" "$n"; then
        echo "$((now * 1000000)) $kind $n" >>"$CLUSTER_DIR/faults"
      fi
    fi
    sleep 0.02
  done
  mend_all
}

has_faults () { [ "$(wc -l <"$CLUSTER_DIR/faults")" -ge "$1" ]; }

# unserved: lines "KIND MS": for each fault the longest time without an answer
# of any key that begins within a second after the fault.
unserved ()
{
  awk '
    FNR == NR { at[++count] = $1; kind[count] = $2; next }
    /"event":"answer"/ && /"outcome":"answered"/ {
      key = substr ($0, index ($0, "\"key\":") + 7)
      key = substr (key, 1, index (key, "\"") - 1)
      ns = substr ($0, index ($0, "\"receive_ns\":") + 13) + 0
      if (key in last)
        for (i = 1; i <= count; i++)
          if (last[key] < at[i] + 1e9 && ns > at[i] && ns - last[key] > worst[i])
            worst[i] = ns - last[key]
      if (ns > last[key])
        last[key] = ns
    }
    END { for (i = 1; i <= count; i++) printf "%s %d\n", kind[i], worst[i] / 1e6 }
  ' "$CLUSTER_DIR/faults" "$CLUSTER_DIR/load.journal"
}

print_figures ()
{
  local kind
  unserved >"$CLUSTER_DIR/unserved"
  for kind in "${KINDS[@]}"; do
    grep -q "^$kind " "$CLUSTER_DIR/unserved" || continue
    figure "chaos.$kind.count" "$(grep -c "^$kind " "$CLUSTER_DIR/unserved")" \
      faults
    figure "chaos.$kind.unserved_worst" \
      "$(awk -v k="$kind" '$1 == k { print $2 }' "$CLUSTER_DIR/unserved" \
        | percentile 100)" ms
  done
}

build=$1
seed=$2
seconds=$3
RANDOM=$seed
echo "seed $seed"
fault_open "$build" "$NODES" relayed || exit 1
mark start
fault_load
check "all keys are served" all_keys_served start
run_faults "$seconds"
mark mended
check "enough faults took place" has_faults $((seconds / 3))
check "some node was declared dead" any_node_logged 4005
for n in $(seq "$NODES"); do
  check "node $n is a member" is_member "$n" "$n"
done
mark members
check "all keys are served" all_keys_served members
fault_verdict $((seconds * 30))
[ -n "${CHAOS_TEST:-}" ] || print_figures
