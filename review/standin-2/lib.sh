# Functions for the scripts of the cases 6 to 10.  Machine N of a run has the
# loopback address 127.X.Y.N, the store 127.X.Y.200; X and Y are of the run.
# shellcheck shell=bash
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$case_dir/../.." && pwd)
drill_program=$top/target/review-2/drill
node_program=$top/target/crocusbend
TROUBLE=${TROUBLE:-1}
record=$case_dir/record.txt
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
store=$net.200/7140
heartbeat_ms=1500
pids=()
declare -A node_pid

cannot_run () { # the case could not run
  echo "cannot run: $*" | tee -a "$record"
  exit 2
}

stop_all () {
  local p
  for p in "${pids[@]}"; do
    kill -CONT "$p" 2>/dev/null
    kill -KILL "$p" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}

[ -x "$drill_program" ] && [ -x "$node_program" ] || {
  echo "not built"
  exit 2
}
work=$(mktemp -d)
trap stop_all EXIT
: >"$record"

ctl () { # ctl COMMAND [BODY]: prints the body of the answer
  local body=${2-} line
  exec 9<>"/dev/tcp/${store%/*}/${store#*/}" || return 1
  printf 'POST /ctl/%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "${#body}" "$body" >&9
  while IFS= read -r line <&9; do [ "$line" = $'\r' ] && break; done
  cat <&9
  exec 9>&-
}

# start_drill COUNT SERVICE [KEYED]: the platform, and COUNT machines with
# upstreams of SERVICE, which is divided by key unless KEYED is "no".
start_drill () {
  local n machines=()
  for n in $(seq "$1"); do
    machines+=("$2:${3:-yes}:$net.$n/8145:$net.$n/8144:$net.$n/8147")
  done
  "$drill_program" "$store" "$record" "$heartbeat_ms" "${machines[@]}" \
    >"$work/drill.out" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    grep -q ready "$work/drill.out" && return
    sleep 0.05
  done
  cannot_run "the stand-in does not start"
}

# write_settings N SERVICE ZONE: the template of the deploy file, filled in as
# the platform does for a small deployment.
write_settings () {
  sed -e "s|{{node_name}}|sidecar-$3-$1|; s|{{region}}|tt-north|; s|{{zone}}|$3|" \
    -e "s|{{service_name}}|$2|; s|{{limits.link_mbps}}|1000.0|" \
    -e "s|{{limits.cpu_share}}|0.2|; s|{{limits.memory_mb}}|260|" \
    -e 's|{{bounds}}|{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":58,"recover_s":15,"hold_max_ms":10000,"thaw_ms":300}|' \
    -e "s|{{listen_addrs.outbound}}|$net.$1:8147|; s|{{listen_addrs.ready}}|$net.$1:8141|" \
    -e "s|{{listen_addrs.control}}|$net.$1:8144|; s|{{ip}}:{{port_range.0}}|$net.$1:7380|" \
    -e "s|{{ip}}:{{port_range.1}}|$net.$1:7395|; s|{{app_addr}}|$net.$1:8145|" \
    -e "s|{{platform.address}}|${store%/*}:${store#*/}|" \
    "$top/deploy/settings.yaml" >"$work/node$1.yaml"
}

start_node () { # start_node N
  (cd "$top" && exec "$node_program" mesh "$work/node$1.yaml") \
    >>"$work/log$1" 2>&1 &
  node_pid[$1]=$!
  pids+=($!)
}

note () { # note TEXT: a line of the script in the record
  echo "script $*" >>"$record"
}

# configure VERSION SERVICE [SHARDED [TIMEOUT_MS]]
configure () {
  ctl "put?key=op/config" \
    "{\"version\":\"r$1\",\"entries\":[{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"push\"},\"spec\":{\"host\":\"drill.example\",\"prefix\":\"/push/\",\"kind\":\"non_idempotent\",\"timeout_ms\":${4:-2000},\"target_latency_ms\":400,\"priority\":1,\"service_name\":\"$2\",\"max_attempts\":2}},{\"resource_type\":\"services\",\"metadata\":{\"name\":\"$2\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls_mode\":false,\"sharded\":${3:-true},\"warm_s\":2.0,\"lease_grants\":\"call\"}},{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}"
}

wait_held () { # wait_held COMMAND LEAST SECONDS: that many keys are held
  local i
  for i in $(seq $(($3 * 10))); do
    [ "$(ctl "$1")" -ge "$2" ] 2>/dev/null && return 0
    sleep 0.1
  done
  return 1
}

finish () { # the verdict
  local count
  count=$(ctl broken)
  case $count in
    '' | *[!0-9]*) cannot_run "the stand-in does not answer" ;;
  esac
  echo "broken: $count"
  grep BROKEN "$record" | head -n 5
  [ "$count" -eq 0 ]
  exit
}
