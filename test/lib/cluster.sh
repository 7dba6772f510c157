# Runs a cluster of real processes on one machine for scripted tests and
# benchmarks.
#
#   . test/lib/cluster.sh
#   cluster_open BUILD          # directory, ports, trap that stops everything
#   start_store
#   start_target 1; start_node 1; wait_ready node1
#   kill_process node1 KILL; stop_process target1
#
# Processes are referred to by name (store, target1, node1, ...) and signalled
# by process id.  The output of NAME is in $CLUSTER_DIR/NAME.out and NAME.err,
# the journal of target N in $CLUSTER_DIR/targetN.journal.

CLUSTER_READY_S=20   # timeout for a process to become ready
CLUSTER_STOP_S=15    # timeout for a process to exit after SIGTERM
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

# Stop every process and remove the directory unless CLUSTER_KEEP is set.
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

# now_ms: milliseconds of a monotonic clock.
now_ms ()
{
  local up
  read -r up _ </proc/uptime
  echo $((10#${up/./} * 10))
}

# wait_until SECONDS COMMAND...: retry COMMAND until it succeeds; fails after
# SECONDS.
wait_until ()
{
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.02
  done
}

# start_process NAME COMMAND...: start COMMAND in the background.
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

is_ready_or_exited () { has_line "$1.out" '^ready' || ! is_alive "$1"; }

# wait_ready NAME...: wait until each process has printed "ready"; on failure
# print the end of its standard error.
wait_ready ()
{
  local name
  for name in "$@"; do
    wait_until "$CLUSTER_READY_S" is_ready_or_exited "$name"
    if ! has_line "$name.out" '^ready'; then
      echo "$name did not become ready:" >&2
      tail -n 20 "$CLUSTER_DIR/$name.err" >&2
      return 1
    fi
  done
}

# wait_port NAME PORT: wait until process NAME listens on PORT.
wait_port ()
{
  if ! wait_until "$CLUSTER_READY_S" is_port_open "$2"; then
    echo "$1 is not listening on port $2:" >&2
    tail -n 20 "$CLUSTER_DIR/$1.err" >&2
    return 1
  fi
}

# start_store [OPTION...]: start the stand-in store.
start_store ()
{
  start_process store "$CLUSTER_BUILD/standin_store" \
    --listen "127.0.0.1:$(store_port)" "$@"
  wait_port store "$(store_port)"
}

# start_target N [OPTION...]: start stand-in target N with a journal.
start_target ()
{
  local n=$1
  shift
  start_process "target$n" "$CLUSTER_BUILD/standin_target" \
    --listen "127.0.0.1:$(target_port "$n")" --name "target$n" \
    --journal "$CLUSTER_DIR/target$n.journal" "$@"
  wait_port "target$n" "$(target_port "$n")"
}

# write_settings N [SECTION.KEY=VALUE...]: write the settings file of node N;
# later values override earlier ones.
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

# start_node N [SECTION.KEY=VALUE...]: start the node of target N.
start_node ()
{
  write_settings "$@"
  start_process "node$1" "$CLUSTER_BUILD/crocusbend" node \
    "$CLUSTER_DIR/node$1.yaml"
}

# node_options COUNT: print the --node options of `crocusbend load` for nodes 1
# to COUNT.
node_options ()
{
  local n
  for n in $(seq "$1"); do
    printf -- '--node 127.0.0.1:%s ' "$(callers_port "$n")"
  done
}

# kill_process NAME [SIGNAL]: send SIGNAL (default TERM) without waiting.
kill_process ()
{
  kill -"${2:-TERM}" "${CLUSTER_PID[$1]}"
}

has_exited () { ! is_alive "$1"; }

# reap_process NAME: wait for it to exit and return its exit status.
reap_process ()
{
  local pid=${CLUSTER_PID[$1]}
  unset "CLUSTER_PID[$1]"
  wait "$pid" 2>/dev/null
}

# stop_process NAME: send SIGTERM and wait, SIGKILL after CLUSTER_STOP_S;
# returns its exit status, 137 if it was killed.
stop_process ()
{
  [ -n "${CLUSTER_PID[$1]:-}" ] || return 0
  kill_process "$1" CONT 2>/dev/null
  kill_process "$1" TERM 2>/dev/null
  wait_until "$CLUSTER_STOP_S" has_exited "$1" || kill_process "$1" KILL
  reap_process "$1"
}

# crash_process NAME: send SIGKILL and reap it, as when an instance is lost.
crash_process ()
{
  kill_process "$1" KILL
  reap_process "$1"
}

# stop_all: stop all processes: the nodes first and in parallel, the store last.
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

# processor_ms NAME: processor time used so far in milliseconds.
processor_ms ()
{
  local fields
  fields=$(sed 's/.*) //' "/proc/${CLUSTER_PID[$1]}/stat") || return 1
  # shellcheck disable=SC2086
  set -- $fields
  echo $(((${12} + ${13}) * 1000 / $(getconf CLK_TCK)))
}

# memory_kb NAME: resident memory in KiB.
memory_kb ()
{
  awk '/^VmRSS:/ { print $2 }' "/proc/${CLUSTER_PID[$1]}/status"
}
