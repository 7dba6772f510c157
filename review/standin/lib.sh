# Functions for the scripts of this folder.  A script sets $here to its folder
# and sources this file; it then runs in the top folder of the repository.
# shellcheck shell=bash
TROUBLE=${TROUBLE:-1}
cd "$here/../.." || exit 2
# Where the programs are, and where the record goes, for test/script.
programs=$(cd "${PROGRAMS:-$here/../../target}" && pwd) || exit 2
record=${RECORD:-$here/record.txt}
work=$(mktemp -d)
pids=()
declare -A node_pid upstream_pid upstream_in
: >"$record"
for program in "$programs"/crocusbend "$programs"/review/upstream \
  "$programs"/review/caller \
  "$programs"/review/store; do
  [ -x "$program" ] || { echo "cannot run: $program is not built"; exit 2; }
done

stop_all () {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

# note TEXT: a line of the record that tells what the script does.
note () { echo "script: $*" >>"$record"; }

cannot_run () {
  note "cannot run: $*"
  echo "cannot run: $*"
  exit 2
}

# Whether something listens on PORT of 127.0.0.1.
listens () { (exec 9<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Find a block of 100 free ports; $base is the first.
find_ports () {
  local try port
  if [ -n "${CB_PORT_BASE:-}" ]; then
    base=$CB_PORT_BASE # the block of a test run
    return
  fi
  for try in $(seq 50); do
    base=$((10000 + (RANDOM % 180) * 100))
    for port in $(seq 0 60); do
      listens $((base + port)) && continue 2
    done
    return
  done
  cannot_run "no free ports"
}
find_ports
store=$base
# Node N: callers, ready, control, peers, operator, and its upstream.
callers () { echo $((base + 10 * $1 + 1)); }
ready () { echo $((base + 10 * $1 + 2)); }
control () { echo $((base + 10 * $1 + 3)); }
upstream_port () { echo $((base + 10 * $1 + 4)); }

# wait_for SECONDS COMMAND...: until it succeeds.
wait_for () {
  local tries=$(($1 * 20))
  shift
  while [ "$tries" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
    tries=$((tries - 1))
  done
  return 1
}

# http PORT METHOD PATH [FILE]: a call with FILE as its body; prints the status.
http () {
  local status=""
  (
    exec 9<>"/dev/tcp/127.0.0.1/$1" || exit
    printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n' "$2" "$3" >&9
    if [ -n "${4:-}" ]; then
      printf 'Content-Length: %d\r\n\r\n' "$(wc -c <"$4")" >&9
      cat "$4" >&9
    else
      printf '\r\n' >&9
    fi
    read -r -t 1 _ status _ <&9
    echo "$status"
  ) 2>/dev/null
}

start_store () {
  mkfifo "$work/in-store"
  "$programs"/review/store --port "$store" --record "$record" \
    <>"$work/in-store" >"$work/store.out" 2>&1 &
  pids+=($!)
  upstream_in[store]=$work/in-store
  wait_for 5 grep -q ready "$work/store.out" || cannot_run "the store"
}

# start_upstream N SERVICE ID [OPTION...]
start_upstream () {
  local n=$1 service=$2 id=$3
  shift 3
  mkfifo "$work/in-$id"
  "$programs"/review/upstream --port "$(upstream_port "$n")" \
    --control "$(control "$n")" --service "$service" --id "$id" \
    --record "$record" "$@" <>"$work/in-$id" 2>"$work/err-$id" &
  upstream_pid[$id]=$!
  pids+=($!)
  upstream_in[$id]=$work/in-$id
}

# tell ID COMMAND: a command to an upstream, or to the store.
tell () { echo "$2" >"${upstream_in[$1]}"; }

# write_settings N SERVICE: the settings of node N as deploy/settings.yaml has
# them, with the bounds of a small site.
write_settings () {
  local p=$((base + 10 * $1))
  cat >"$work/node$1.yaml" <<END
node:
  name: sidecar-$1
  region: here
  zone: here
  service: $2
  bounds: '{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":58,"recover_s":15,"hold_max_ms":10000,"thaw_ms":300}'
  link_mbps: 1000.0
  cpu_share: 0.2
  memory_mb: 260
listen:
  callers: 127.0.0.1:$((p + 1))
  ready: 127.0.0.1:$((p + 2))
  targets: 127.0.0.1:$((p + 3))
  peers: 127.0.0.1:$((p + 5))
  operator: 127.0.0.1:$((p + 6))
target:
  address: 127.0.0.1:$((p + 4))
  states_load: no
store:
  endpoints: ["127.0.0.1:$store"]
  timeout_ms: 1500
  reduce_calls: yes
ownership:
  key_space: 65536
lease:
  term_ms: 3300
  renew_ms: 600
placement:
  policy: imbalance-first
END
}

# start_node N: with the command of the deploy file.
start_node () {
  "$programs"/crocusbend mesh "$work/node$1.yaml" >>"$work/log$1" 2>&1 &
  node_pid[$1]=$!
  pids+=($!)
}

route () { # route NAME PREFIX KIND SERVICE
  printf '{"resource_type":"routes","metadata":{"name":"%s"},"spec":{"host":"h","prefix":"%s","kind":"%s","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"service_name":"%s","max_attempts":%s}},' \
    "$1" "$2" "$3" "$4" "${MAX_ATTEMPTS:-3}"
}

# configure VERSION: routes to the services "plain" and "sound" and to the
# sharded "keyed".
configure () {
  printf '{"version":"r%s","entries":[%s%s%s%s%s{"resource_type":"services","metadata":{"name":"plain"},"spec":{"max_connections":110}},{"resource_type":"services","metadata":{"name":"sound"},"spec":{"max_connections":110}},{"resource_type":"services","metadata":{"name":"keyed"},"spec":{"max_connections":110,"sharded":true}},{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}' \
    "$1" "$(route read /read/ idempotent plain)" \
    "$(route write /write/ non_idempotent plain)" \
    "$(route pay /sound/ non_idempotent sound)" \
    "$(route keyed-read /kread/ idempotent keyed)" \
    "$(route keyed-write /kwrite/ non_idempotent keyed)" >"$work/config"
  [ "$(http "$store" PUT "/put?key=op/config" "$work/config")" = 200 ] \
    || cannot_run "the configuration"
}

is_ready () { [ "$(http "$(ready "$1")" GET /-/ready)" = 200 ]; }

# call NODE ID METHOD PATH [KEY]: one request; prints the status.
call () {
  "$programs"/review/caller --port "$(callers "$1")" --record "$record" \
    "$2:$3:$4${5:+:$5}"
}

answers_200 () { [ "$(call "$@")" = 200 ]; }

# find_key N FROM: set $key to the first key, of every 128th from FROM down,
# that upstream i-keyed-N holds.
find_key () {
  local k
  for k in $(seq "$2" -128 $(($2 - 8000))); do
    call 2 "find$k" GET /kread/a "$k" >>"$work/calls"
    if grep -q " i-keyed-$1 run find$k " "$record"; then
      key=$k
      return 0
    fi
  done
  return 1
}

finish () { # finish STATUS TEXT
  note "$2"
  echo "$2"
  exit "$1"
}
