# Two nodes of `crocusbend node`, and a garbler between node 1 and its target, and
# functions to send requests for a key of that target.
# shellcheck shell=bash
. "$(dirname "${BASH_SOURCE[0]}")/../lib/cluster.sh"
cluster_open "$1"
CONTROL=$((CLUSTER_BASE + 190))
FRONT=$((CLUSTER_BASE + 151))
GOT=$CLUSTER_DIR/got

start_store
for n in 1 2; do start_target $n; done
start_process garbler "$CLUSTER_BUILD/standin_garbler" $CONTROL "$FRONT:$(target_port 1)"
wait_ready garbler
start_node 1 target.address="127.0.0.1:$FRONT" limits.body_bytes=67108864
start_node 2 limits.body_bytes=67108864
wait_ready node1 node2
spoil () { curl -s -X POST "http://127.0.0.1:$CONTROL/$1"; }

# send NODE QUERY [CURL OPTION...]: the head and the body of the answer to a POST
# for KEY, then its status and the size of the body.
send () {
  local node=$1 query=$2
  shift 2
  curl -s -i -m 8 -X POST -H "Crocusbend-Idempotent: no" -H "Crocusbend-Deadline-Ms: 4000" -H "Expect:" \
    -w '\n%{http_code} %{size_download}' "$@" \
    "http://127.0.0.1:$(callers_port "$node")/v1/$CLUSTER_SERVICE/$key?$query"
}
served_by () { send "$1" sound | grep -q '"target":"'"$2"'"'; }

# A key of target 1, for both nodes; keys move when the nodes start.
choose_key () {
  for key in k0 k1 k2 k3 k4 k5 k6 k7; do
    served_by 1 target1 && served_by 2 target1 && return
  done
  return 1
}
wait_until 20 choose_key || echo "target 1 has no key"
sleep 2
choose_key || echo "target 1 has no key"
spoil match=broken

# send_spoiled NODE [CURL OPTION...]: send until the target was asked.  A node that
# takes it for down does not ask it.
send_spoiled () {
  local node=$1 before
  shift
  before=$(spoil count)
  for _ in $(seq 40); do
    send "$node" "broken=$case_number" "$@" >"$GOT"
    [ "$(spoil count)" = "$before" ] || return
    sleep 0.1
  done
  echo "target 1 was not asked"
}

# ending: the status and the reason of the last answer
ending () {
  echo "$(tail -n 1 "$GOT" | cut -d ' ' -f 1) $(tr -d '\r' <"$GOT" | sed -n 's/^Crocusbend-Reason: //p')" | sed 's/ $//'
}

# rewrite TEMPLATE: the next answer
rewrite () {
  printf '%b' "$1" >"$CLUSTER_DIR/template"
  curl -s -X POST --data-binary @"$CLUSTER_DIR/template" "http://127.0.0.1:$CONTROL/rewrite=1"
}
case_number=0
