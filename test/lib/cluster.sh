# A cluster of real processes on one machine, for scripted tests and benches.
#
#   . test/lib/cluster.sh
#   cluster_open BUILD          # folder, ports, and a trap that ends everything
#   start_store
#   start_target 1; start_node 1; wait_ready node1
#   kill_process node1 KILL; stop_process target1
#
# Processes have names: store, target1, node1, ...  Each is ended by its id.
# The output of NAME is in $CLUSTER_DIR/NAME.out and NAME.err, the journal of
# target N in $CLUSTER_DIR/targetN.journal.

CLUSTER_READY_S=20   # longest wait for a process to serve
CLUSTER_STOP_S=15    # longest wait for a process to end by itself
CLUSTER_ZONES=${CLUSTER_ZONES:-3}
CLUSTER_SERVICE=${CLUSTER_SERVICE:-cell-config}
declare -A CLUSTER_PID

. "$(dirname "${BASH_SOURCE[0]}")/ports.sh"

cluster_open ()
{
  CLUSTER_BUILD=$1
  CLUSTER_BASE=$CB_PORT_BASE
  CLUSTER_DIR=$(mktemp -d "${TMPDIR:-/tmp}/crocusbend.XXXXXX")
  trap cluster_close EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# End every process and remove the folder; kept when CLUSTER_KEEP is set.
cluster_close ()
{
  stop_all
  if [ -z "${CLUSTER_KEEP:-}" ]; then
    rm -rf "$CLUSTER_DIR"
  else
    echo "kept $CLUSTER_DIR" >&2
  fi
}

store_port () { echo "$CLUSTER_BASE"; }
target_port () { echo $((CLUSTER_BASE + 100 + $1)); }
callers_port () { echo $((CLUSTER_BASE + 200 + $1)); }
peers_port () { echo $((CLUSTER_BASE + 300 + $1)); }
operator_port () { echo $((CLUSTER_BASE + 400 + $1)); }

# now_ms: milliseconds of a clock that only counts up.
now_ms ()
{
  local up
  read -r up _ </proc/uptime
  echo $((10#${up/./} * 10))
}

# wait_until SECONDS COMMAND...: until COMMAND succeeds.
wait_until ()
{
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.02
  done
}

# start_process NAME COMMAND...: in the background.
start_process ()
{
  local name=$1
  shift
  "$@" >"$CLUSTER_DIR/$name.out" 2>>"$CLUSTER_DIR/$name.err" </dev/null &
  CLUSTER_PID[$name]=$!
}

is_alive () { kill -0 "${CLUSTER_PID[$1]:-0}" 2>/dev/null; }
is_port_open () { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
has_line () { grep -qs "$2" "$CLUSTER_DIR/$1"; }

is_ready_or_gone () { has_line "$1.out" '^ready' || ! is_alive "$1"; }

# wait_ready NAME...: each has printed "ready"; fails with its messages else.
wait_ready ()
{
  local name
  for name in "$@"; do
    wait_until "$CLUSTER_READY_S" is_ready_or_gone "$name"
    if ! has_line "$name.out" '^ready'; then
      echo "$name is not ready:" >&2
      tail -n 20 "$CLUSTER_DIR/$name.err" >&2
      return 1
    fi
  done
}

# wait_port NAME PORT: NAME listens there.
wait_port ()
{
  if ! wait_until "$CLUSTER_READY_S" is_port_open "$2"; then
    echo "$1 does not listen on $2:" >&2
    tail -n 20 "$CLUSTER_DIR/$1.err" >&2
    return 1
  fi
}

# start_store [OPTION...]: the store stand-in.
start_store ()
{
  start_process store "$CLUSTER_BUILD/standin_store" \
    --listen "127.0.0.1:$(store_port)" "$@"
  wait_port store "$(store_port)"
}

# start_target N [OPTION...]: target stand-in N with a journal.
start_target ()
{
  local n=$1
  shift
  start_process "target$n" "$CLUSTER_BUILD/standin_target" \
    --listen "127.0.0.1:$(target_port "$n")" --name "target$n" \
    --journal "$CLUSTER_DIR/target$n.journal" "$@"
  wait_port "target$n" "$(target_port "$n")"
}

# write_settings N [SECTION.KEY=VALUE...]: settings of node N; later values
# replace earlier ones.
write_settings ()
{
  local n=$1 pair path section last=
  shift
  local -A value=(
    [node.name]="n$n" [node.region]=r1
    [node.zone]="z$((n % CLUSTER_ZONES + 1))"
    [node.service]="$CLUSTER_SERVICE"
    [listen.callers]="127.0.0.1:$(callers_port "$n")"
    [listen.peers]="127.0.0.1:$(peers_port "$n")"
    [listen.operator]="127.0.0.1:$(operator_port "$n")"
    [target.address]="127.0.0.1:$(target_port "$n")"
    [store.endpoints]="[\"127.0.0.1:$(store_port)\"]"
  )
  for pair in "$@"; do
    value[${pair%%=*}]=${pair#*=}
  done
  while read -r path; do
    section=${path%%.*}
    [ "$section" = "$last" ] || echo "$section:"
    last=$section
    echo "  ${path#*.}: ${value[$path]}"
  done < <(printf '%s\n' "${!value[@]}" | LC_ALL=C sort) \
    >"$CLUSTER_DIR/node$n.yaml"
}

# start_node N [SECTION.KEY=VALUE...]: the node beside target N.
start_node ()
{
  write_settings "$@"
  start_process "node$1" "$CLUSTER_BUILD/crocusbend" node \
    "$CLUSTER_DIR/node$1.yaml"
}

# node_options COUNT: options of `crocusbend load` that name nodes 1 to COUNT.
node_options ()
{
  local n
  for n in $(seq "$1"); do
    printf -- '--node 127.0.0.1:%s ' "$(callers_port "$n")"
  done
}

# kill_process NAME [SIGNAL]: send SIGNAL (TERM) and do not wait.
kill_process ()
{
  kill -"${2:-TERM}" "${CLUSTER_PID[$1]}"
}

is_gone () { ! is_alive "$1"; }

# forget_process NAME: reap it; its exit status.
forget_process ()
{
  local pid=${CLUSTER_PID[$1]}
  unset "CLUSTER_PID[$1]"
  wait "$pid" 2>/dev/null
}

# stop_process NAME: ask it to end and wait; its exit status, 137 when it had
# to be killed.
stop_process ()
{
  [ -n "${CLUSTER_PID[$1]:-}" ] || return 0
  kill_process "$1" CONT 2>/dev/null
  kill_process "$1" TERM 2>/dev/null
  wait_until "$CLUSTER_STOP_S" is_gone "$1" || kill_process "$1" KILL
  forget_process "$1"
}

# lose_process NAME: kill -9, as when an instance is lost.
lose_process ()
{
  kill_process "$1" KILL
  forget_process "$1"
}

# stop_all: end what runs, the nodes first and all at once, the store last.
stop_all ()
{
  local name
  for name in "${!CLUSTER_PID[@]}"; do
    kill_process "$name" CONT 2>/dev/null
    [[ $name == node* ]] && kill_process "$name" TERM 2>/dev/null
  done
  for name in "${!CLUSTER_PID[@]}"; do
    [[ $name == node* ]] && stop_process "$name"
  done
  for name in "${!CLUSTER_PID[@]}"; do
    [ "$name" = store ] || stop_process "$name"
  done
  stop_process store
}

# processor_ms NAME: processor time used so far, in milliseconds.
processor_ms ()
{
  local fields
  fields=$(sed 's/.*) //' "/proc/${CLUSTER_PID[$1]}/stat") || return 1
  # shellcheck disable=SC2086
  set -- $fields
  echo $(((${12} + ${13}) * 1000 / $(getconf CLK_TCK)))
}

# memory_kb NAME: resident memory.
memory_kb ()
{
  awk '/^VmRSS:/ { print $2 }' "/proc/${CLUSTER_PID[$1]}/status"
}
