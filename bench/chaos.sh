#!/usr/bin/env bash
# Injects random faults under load: bash bench/chaos.sh BUILD SEED SECONDS
#
# Six instances run behind the fault proxy.  Faults follow one another and may
# overlap: nodes and instances killed and restarted, nodes paused, targets that
# freeze or close connections, network partitions, lost datagrams, and a store
# that is down, is slow or loses answers.  Then all faults end, and every key
# must be served.
#   figure chaos.KIND.count N faults
#   figure chaos.KIND.unserved_worst MS ms  longest time without an answer for
#                                     any key that lasts into the fault or
#                                     starts within 1 s after its start
# The seed alone determines the schedule; when each fault takes effect depends
# on the machine.
set -u
cd "$(dirname "$0")/.."
. bench/lib.sh
FAULT_RATE=${FAULT_RATE:-1000}
. test/lib/fault.sh
NODES=6
INTERVAL_MIN_MS=300     # from the start of one fault to the next
INTERVAL_SPREAD_MS=900
FAULT_MIN_MS=200        # duration of a fault
FAULT_SPREAD_MS=1300
KINDS=(lose_node lose_instance pause_node freeze_target close_answers cut_node
  cut_store cut_target lossy store_down store_slow lose_swaps)
declare -A repair_at repair_command

# pick LOW COUNT: sets $picked to a random number from LOW to LOW + COUNT - 1.
pick ()
{
  picked=$(($1 + (RANDOM * 32768 + RANDOM) % $2))
}

# schedule_repair RESOURCE COMMAND...: runs COMMAND after a random time to end
# the fault of RESOURCE.
schedule_repair ()
{
  local resource=$1
  shift
  pick "$FAULT_MIN_MS" "$FAULT_SPREAD_MS"
  repair_at[$resource]=$(($(now_ms) + picked))
  repair_command[$resource]="$*"
}

repair_due ()
{
  local resource command now
  now=$(now_ms)
  for resource in "${!repair_at[@]}"; do
    [ "${repair_at[$resource]}" -le "$now" ] || continue
    command=${repair_command[$resource]}
    unset "repair_at[$resource]" "repair_command[$resource]"
    $command
  done
}

repair_all ()
{
  local resource
  for resource in "${!repair_at[@]}"; do
    repair_at[$resource]=0
  done
  repair_due
}

restart_instance ()
{
  start_fault_target "$1" && start_fault_node "$1"
}

resume_node ()
{
  kill_process "node$1" CONT
}

# clear_routes ROUTE...: ends the faults of proxy routes.
clear_routes () { control_relay "$*" '"clear":true'; }

end_packet_loss ()
{
  control_relay "u1 u2 u3 u4 u5 u6" '"loss":0,"delay_ms":0,"duplicate":0'
}

# inject KIND N: starts one fault at instance N; fails if the resource already
# has one.
inject ()
{
  local kind=$1 n=$2 resource=n$2
  case $kind in
    store_* | lose_swaps) resource=store ;;
    lossy) resource=lossy ;;
  esac
  [ -z "${repair_at[$resource]:-}" ] || return 1
  case $kind in
    lose_node)
      crash_process "node$n"
      schedule_repair "$resource" start_fault_node "$n" ;;
    lose_instance)
      crash_process "node$n"
      crash_process "target$n"
      schedule_repair "$resource" restart_instance "$n" ;;
    pause_node)
      kill_process "node$n" STOP
      schedule_repair "$resource" resume_node "$n" ;;
    freeze_target)
      control_target "$n" '{"freeze_ms":60000}'
      schedule_repair "$resource" control_target "$n" '{"freeze_ms":0}' ;;
    close_answers)
      control_target "$n" '{"close_before":5,"close_after":5,"close_mid":5}'
      schedule_repair "$resource" control_target "$n" \
        '{"close_before":0,"close_after":0,"close_mid":0}' ;;
    cut_node)
      control_relay "u$n t$n" '"cut":true'
      schedule_repair "$resource" clear_routes "u$n" "t$n" ;;
    cut_store)
      control_relay "s$n" '"cut":true'
      schedule_repair "$resource" clear_routes "s$n" ;;
    cut_target)
      control_relay "g$n" '"cut":true'
      schedule_repair "$resource" clear_routes "g$n" ;;
    lossy)
      control_relay "u1 u2 u3 u4 u5 u6" '"loss":30,"delay_ms":5,"duplicate":20'
      schedule_repair "$resource" end_packet_loss ;;
    store_down)
      control_store '{"down":true}'
      schedule_repair "$resource" control_store '{}' ;;
    store_slow)
      control_store '{"delay_ms":200}'
      schedule_repair "$resource" control_store '{}' ;;
    lose_swaps)
      control_store '{"lose_answers":2}'
      schedule_repair "$resource" control_store '{}' ;;
  esac
}

# run_faults SECONDS: injects faults for SECONDS, then ends all.
run_faults ()
{
  local end=$(($(now_ms) + $1 * 1000)) next=0 kind n now
  while now=$(now_ms); [ "$now" -lt "$end" ]; do
    repair_due
    if [ "$now" -ge "$next" ]; then
      pick 0 "${#KINDS[@]}"
      kind=${KINDS[$picked]}
      pick 1 "$NODES"
      n=$picked
      pick "$INTERVAL_MIN_MS" "$INTERVAL_SPREAD_MS"
      next=$((now + picked))
      if inject "$kind" "$n"; then
        echo "$((now * 1000000)) $kind $n" >>"$CLUSTER_DIR/faults"
      fi
    fi
    sleep 0.02
  done
  repair_all
}

enough_faults () { [ "$(wc -l <"$CLUSTER_DIR/faults")" -ge "$1" ]; }

# unserved: prints "KIND MS" for each fault: the longest time without an answer
# for any key that ends after the fault began and starts at most 1 s after it.
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
    print_figure "chaos.$kind.count" "$(grep -c "^$kind " "$CLUSTER_DIR/unserved")" \
      faults
    print_figure "chaos.$kind.unserved_worst" \
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
mark repaired
check "enough faults took place" enough_faults $((seconds / 3))
check "some node was declared dead" any_node_logged 4005
for n in $(seq "$NODES"); do
  check "node $n is a member" is_member "$n" "$n"
done
mark members
check "all keys are served" all_keys_served members
fault_verdict $((seconds * 30))
[ -n "${CHAOS_TEST:-}" ] || print_figures
