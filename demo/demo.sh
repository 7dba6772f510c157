#!/usr/bin/env bash
# Runs a small cluster on this machine: a store stand-in and three targets with
# their nodes in two availability zones.  Puts it under load, kills one node
# and shows the operator's view.  Finishes within a minute and stops all
# processes that it started.
set -u
cd "$(dirname "$0")/.."
. test/lib/cluster.sh
CLUSTER_ZONES=2
CLUSTER_SERVICE=cell-config
cluster_open "${1:-build}"

ask ()
{
  echo
  echo "\$ crocusbend ask $1"
  "$CLUSTER_BUILD"/crocusbend ask --node "127.0.0.1:$(operator_port 1)" "$1"
}

echo "starting a store stand-in, three targets and three nodes"
start_store || exit 1
for n in 1 2 3; do
  start_target "$n" --service-ms 1 || exit 1
  start_node "$n"
done
wait_ready node1 node2 node3 || exit 1

ask "create service cell-config because \"demo\""
ask "mark organisation sinar paying because \"demo\""
ask "members"
ask "owner of key line-3"

echo
echo "8 s of load on all nodes; the node of target 2 is killed after 3 s"
# shellcheck disable=SC2046
"$CLUSTER_BUILD"/crocusbend load $(node_options 3) --service cell-config \
  --rate 600 --seconds 8 --write-share 20 --organisations sinar:1 \
  >"$CLUSTER_DIR/load.out" 2>&1 &
load=$!
sleep 3
crash_process node2
wait "$load"
grep -E '^(requests|answered_per_s|outcome|foreign|latency_us p|reason)' \
  "$CLUSTER_DIR/load.out"
echo "(unsent: the caller could not connect to the lost node)"

ask "members"
ask "load"
ask "refused by reason"

echo
echo "what the nodes logged about the loss"
grep -hE ' 400[56] | 4004 ' "$CLUSTER_DIR"/node[13].err | tail -n 4

echo
echo "graceful shutdown of the other nodes"
for n in 1 3; do
  stop_process "node$n"
  echo "node$n exit status $?"
done
