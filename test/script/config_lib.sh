# Commands and queries to a cluster of running nodes, for tests and bench/*.sh;
# to be sourced after test/lib/cluster.sh.

CONFIG_WAIT_S=30     # longest wait for a condition

# ask N LINE...: print the answer of node N.
ask ()
{
  local n=$1
  shift
  "$CLUSTER_BUILD"/crocusbend ask --node "127.0.0.1:$(operator_port "$n")" \
    "$@" 2>&1
}

# control JSON: set the faults of the store stand-in and print its counts.
control ()
{
  curl -s --max-time 5 -X POST --data "$1" \
    "http://127.0.0.1:$(store_port)/control"
}

# revision_of N: print the revision of the configuration in force at node N.
revision_of ()
{
  ask "$1" config | awk 'NR == 2 { print $1 }'
}

is_at_revision () { [ "$(revision_of "$1")" = "$2" ]; }
has_members () { [ "$(ask "$1" members | grep -c ' active ')" = "$2" ]; }

# in_force_everywhere REVISION N: node N reports it in force at every member.
in_force_everywhere ()
{
  ask "$2" "config in force" \
    | grep -q "^revision $1 is in force everywhere"
}

# open_cell COUNT: start the store and targets and nodes 1 to COUNT, and wait
# until all are members.
open_cell ()
{
  local n names=
  start_store || return 1
  for n in $(seq "$1"); do
    start_target "$n" || return 1
    start_node "$n"
    names="$names node$n"
  done
  # shellcheck disable=SC2086
  wait_ready $names || return 1
  wait_until "$CONFIG_WAIT_S" has_members 1 "$1"
}
