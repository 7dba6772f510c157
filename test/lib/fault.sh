# Fault injection into a cell under load, for fault*.test and bench/chaos.sh.
# Source test/lib/cluster.sh first.
#
#   fault_open BUILD COUNT [relayed]   # start the store and COUNT instances,
#                                      # slots distributed evenly
#   fault_load [OPTION...]             # run load in the background
#   mark before; ...; check TEXT CONDITION...
#   fault_verdict                      # stop the load and check the history
#
# With "relayed", the fault-injecting proxy forwards the traffic between nodes
# (routes uN and tN to node N: UDP and TCP), between node N and the store (sN)
# and between node N and its target (gN).
# check waits for its condition and prints TEXT, or "FAILED: TEXT" on timeout.

FAULT_WAIT_S=${FAULT_WAIT_S:-30} # timeout of a condition
FAULT_BOOTSTRAP_NODE=9 # owns all slots until the other nodes have joined
FAULT_KEYS=40
FAULT_RATE=${FAULT_RATE:-300}
FAULT_ORGANISATION=load
FAULT_FENCED=${FAULT_FENCED:-yes}  # targets check fencing token and deadline
FAULT_SERVICE_MS=${FAULT_SERVICE_MS:-2}
FAULT_SETTINGS=${FAULT_SETTINGS:-} # node settings, SECTION.KEY=VALUE...
declare -A FAULT_MARK FAULT_GENERATION

fault_count=0
fault_relayed=

relay_port () { echo $((CLUSTER_BASE + 500 + $1)); }
store_relay_port () { echo $((CLUSTER_BASE + 600 + $1)); }
target_relay_port () { echo $((CLUSTER_BASE + 700 + $1)); }
control_port () { echo $((CLUSTER_BASE + 990)); }

# post_control PORT JSON: send a control request to a stand-in and print its
# response.
post_control ()
{
  curl -s --max-time 10 -X POST --data "$2" "http://127.0.0.1:$1/control"
}

control_store () { post_control "$(store_port)" "$1" >/dev/null; }
control_target () { post_control "$(target_port "$1")" "$2" >/dev/null; }

# control_relay ROUTES JSON: apply the faults of JSON, members without the outer
# braces, to each route.
control_relay ()
{
  local route routes
  read -ra routes <<<"$1" # "*" selects all routes and must not be expanded
  for route in "${routes[@]}"; do
    post_control "$(control_port)" "{\"route\":\"$route\",$2}" >/dev/null
  done
}

# relay_lost_count ROUTE: number of datagrams dropped in both directions.
relay_lost_count ()
{
  curl -s --max-time 10 "http://127.0.0.1:$(control_port)/control" \
    | grep -o "\"$1\":{.*" | grep -o '"lost":[0-9]*' | head -n 2 \
    | awk -F : '{ n += $2 } END { print n + 0 }'
}

ask_node ()
{
  local n=$1
  shift
  "$CLUSTER_BUILD"/crocusbend ask --node "127.0.0.1:$(operator_port "$n")" \
    "$@" 2>&1
}

start_relay ()
{
  local n at=127.0.0.1 routes=()
  for n in $(seq "$1") "$FAULT_BOOTSTRAP_NODE"; do
    routes+=(--udp "u$n=$at:$(relay_port "$n")=$at:$(peers_port "$n")")
    routes+=(--tcp "t$n=$at:$(relay_port "$n")=$at:$(peers_port "$n")")
    routes+=(--tcp "s$n=$at:$(store_relay_port "$n")=$at:$(store_port)")
    routes+=(--tcp "g$n=$at:$(target_relay_port "$n")=$at:$(target_port "$n")")
  done
  start_process relay "$CLUSTER_BUILD/standin_proxy" --seed 7 \
    --control "$at:$(control_port)" "${routes[@]}"
  wait_port relay "$(control_port)"
}

# start_fault_node N: start node N with the settings of the scenario.
start_fault_node ()
{
  local at=127.0.0.1 settings=("target.fenced=$FAULT_FENCED")
  if [ -n "$fault_relayed" ]; then
    settings+=("listen.peers_announced=$at:$(relay_port "$1")"
      "store.endpoints=[\"$at:$(store_relay_port "$1")\"]"
      "target.address=$at:$(target_relay_port "$1")")
  fi
  : >"$CLUSTER_DIR/node$1.out"
  # shellcheck disable=SC2086
  start_node "$1" "${settings[@]}" $FAULT_SETTINGS
}

# start_fault_target N [same]: start target N.  The target of a new instance
# gets a new name, so that the checker does not mix its journal with that of the
# previous instance.  With "same", the target restarts behind a node that still
# owns its slots, and keeps its name.
start_fault_target ()
{
  [ "${2:-}" = same ] \
    || FAULT_GENERATION[$1]=$((${FAULT_GENERATION[$1]:-0} + 1))
  local checks=(--fenced --check-deadline)
  [ "$FAULT_FENCED" = yes ] || checks=()
  start_target "$1" "${checks[@]}" --service-ms "$FAULT_SERVICE_MS" \
    --name "target$1-${FAULT_GENERATION[$1]}" \
    --journal "$CLUSTER_DIR/target$1-${FAULT_GENERATION[$1]}.journal"
}

# member_field N ASKED FIELD: column FIELD of member N in the member list of
# node ASKED.
member_field ()
{
  ask_node "$2" members | awk -v name="n$1" -v field="$3" \
    '$1 == name { print $field; exit }'
}

# is_member N ASKED: node ASKED lists N as an active member.
is_member () { [ "$(member_field "$1" "$2" 2)" = active ]; }
is_not_member () { ! is_member "$1" "$2"; }

# has_slots N ASKED LEAST: node ASKED lists N with at least LEAST slots.
has_slots ()
{
  local slots
  slots=$(member_field "$1" "$2" 6)
  [ "${slots:-0}" -ge "$3" ]
}

# fault_open BUILD COUNT [relayed]
fault_open ()
{
  local n
  cluster_open "$1"
  fault_count=$2
  : >"$CLUSTER_DIR/load.journal"
  fault_relayed=${3:-}
  start_store || return 1
  [ -z "$fault_relayed" ] || start_relay "$fault_count" || return 1
  for n in "$FAULT_BOOTSTRAP_NODE" $(seq "$fault_count"); do
    start_fault_target "$n" || return 1
    start_fault_node "$n"
    wait_ready "node$n" || return 1
  done
  ask_node 1 "create service $CLUSTER_SERVICE because \"test\"" >/dev/null
  ask_node 1 "mark organisation $FAULT_ORGANISATION paying because \"test\"" \
    >/dev/null
  for n in $(seq "$fault_count"); do
    wait_until "$FAULT_WAIT_S" is_member "$n" 1 || return 1
  done
  stop_process "node$FAULT_BOOTSTRAP_NODE"
  for n in $(seq "$fault_count"); do
    wait_until "$FAULT_WAIT_S" has_slots "$n" 1 $((4096 / fault_count / 2)) \
      || return 1
  done
  wait_until "$FAULT_WAIT_S" is_in_force "$fault_count"
}

# is_in_force COUNT: nodes 1 to COUNT have applied the configuration commands.
is_in_force ()
{
  local n
  for n in $(seq "$1"); do
    [ "$(ask_node "$n" config | awk 'NR == 2 { print $1 }')" = 2 ] || return 1
  done
}

# run_loads OPTION...: run short loads in sequence until load.end exists.
run_loads ()
{
  local round=0
  while [ ! -e "$CLUSTER_DIR/load.end" ]; do
    round=$((round + 1))
    # shellcheck disable=SC2046
    "$CLUSTER_BUILD"/crocusbend load $(node_options "$fault_count") \
      --service "$CLUSTER_SERVICE" --rate "$FAULT_RATE" --seconds 0.5 \
      --keys "$FAULT_KEYS" --write-share 50 --deadline-ms 500 --seed "$round" \
      --organisations "$FAULT_ORGANISATION:1" \
      --journal "$CLUSTER_DIR/load.journal" "$@"
  done
}

# fault_load [OPTION...]: start run_loads in the background.
fault_load ()
{
  start_process load run_loads "$@"
}

# end_load: stop the load; does nothing if it has been stopped.
end_load ()
{
  [ -n "${CLUSTER_PID[load]:-}" ] || return 0
  : >"$CLUSTER_DIR/load.end"
  wait "${CLUSTER_PID[load]}"
  unset "CLUSTER_PID[load]"
  rm "$CLUSTER_DIR/load.end"
}

# mark NAME: record the present time as NAME; conditions refer to it.
mark () { FAULT_MARK[$1]=$(($(now_ms) * 1000000)); }

# answers_of OUTCOME FROM [TO [TEXT]]: number of answers with OUTCOME to
# requests sent after mark FROM and before mark TO, in journal lines that
# contain TEXT.
answers_of ()
{
  local to=0
  [ -z "${3:-}" ] || to=${FAULT_MARK[$3]}
  awk -v from="${FAULT_MARK[$2]}" -v to="$to" \
    -v outcome="\"outcome\":\"$1\"" -v text="${4:-}" '
      /"event":"answer"/ && index ($0, outcome) && index ($0, text) {
        ns = substr ($0, index ($0, "\"send_ns\":") + 10) + 0
        if (ns > from && (to == 0 || ns < to))
          n++
      }
      END { print n + 0 }' "$CLUSTER_DIR"/load.journal
}

# has_answers LEAST FROM [TO [TEXT]]: at least LEAST requests were answered.
has_answers ()
{
  local least=$1
  shift
  [ "$(answers_of answered "$@")" -ge "$least" ]
}

# has_outcomes OUTCOME LEAST FROM [TO [TEXT]]: at least LEAST answers had
# OUTCOME.
has_outcomes ()
{
  local outcome=$1 least=$2
  shift 2
  [ "$(answers_of "$outcome" "$@")" -ge "$least" ]
}

# keys_served LEAST FROM: requests for at least LEAST keys were answered since
# mark FROM.
keys_served ()
{
  [ "$(awk -v from="${FAULT_MARK[$2]}" '
    /"event":"answer"/ && /"outcome":"answered"/ {
      ns = substr ($0, index ($0, "\"send_ns\":") + 10) + 0
      key = substr ($0, index ($0, "\"key\":") + 7)
      if (ns > from)
        seen[substr (key, 1, index (key, "\"") - 1)] = 1
    }
    END { for (k in seen) n++; print n + 0 }' "$CLUSTER_DIR"/load.journal)" \
    -ge "$1" ]
}

all_keys_served () { keys_served "$FAULT_KEYS" "$1"; }

# has_logged N EVENT [LEAST]: node N logged EVENT at least LEAST times
# (default 1).
has_logged ()
{
  [ "$(grep -c " $2 " "$CLUSTER_DIR/node$1.err")" -ge "${3:-1}" ]
}

# any_node_logged EVENT: at least one node logged EVENT.
any_node_logged () { grep -qs " $1 " "$CLUSTER_DIR"/node*.err; }

# check TEXT CONDITION...: wait until the condition holds; print TEXT, or
# "FAILED: TEXT" after FAULT_WAIT_S.
check ()
{
  local text=$1
  shift
  if wait_until "$FAULT_WAIT_S" "$@"; then echo "$text"; else
    echo "FAILED: $text"
  fi
}

# history_violations: run the history checker; returns its exit status.
history_violations ()
{
  "$CLUSTER_BUILD"/standin_history --slots "$CLUSTER_DIR"/load.journal \
    "$CLUSTER_DIR"/target*.journal "$CLUSTER_DIR"/node*.err
}

# history_numbers: print the number of runs and of answers in the history.
history_numbers ()
{
  awk '/ runs, / { print $1, $3 }' "$CLUSTER_DIR/history"
}

# fault_verdict [LEAST]: stop everything and print the violations found in the
# history, which must hold at least LEAST runs and answers (default 300).
fault_verdict ()
{
  local least=${1:-300} runs answers
  end_load
  stop_all
  history_violations >"$CLUSTER_DIR/history" 2>&1
  read -r runs answers < <(history_numbers)
  if [ "${runs:-0}" -ge "$least" ] && [ "${answers:-0}" -ge "$least" ]; then
    echo "at least $least runs and answers"
  else
    echo "FAILED: at least $least runs and answers (${runs:-0} ${answers:-0})"
  fi
  grep -v ' runs, ' "$CLUSTER_DIR/history" | tail -n 5
}
