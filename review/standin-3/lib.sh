# Functions of the cases: a small deployment on loopback addresses, with the
# world of world.c.  Machine N has the address 127.NET.N, with NET of two numbers
# that nothing listens on, and the ports from PORT on.
# shellcheck shell=bash
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
bin=$root/target/review-3
work=$(mktemp -d)
port=$((RANDOM % 800 * 10 + 20000))
while
  net=$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
  (exec 9<>"/dev/tcp/127.$net.250/$((port + 2))") 2>/dev/null
do :; done
store=127.$net.250:$((port + 2))
declare -A node_pid

finish () {
  local left
  left=$(jobs -p)
  # shellcheck disable=SC2086
  [ -z "$left" ] || kill -9 $left 2>/dev/null
  wait 2>/dev/null
  [ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/
  rm -rf "$work"
}
trap finish EXIT

cannot_run () {
  echo "cannot run: $*"
  exit 2
}

# The bounds of the small deployments; a case may set others.
bounds='{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":58,"recover_s":15,"hold_max_ms":10000,"thaw_ms":300}'

# As the deploy file's template is filled in for machine N beside a target of
# SERVICE.
write_settings () { # write_settings N SERVICE ZONE
  local ip=127.$net.$1
  sed -e "s|{{node_name}}|sidecar-hall-$1|" -e "s|{{region}}|coast|" \
    -e "s|{{zone}}|$3|" -e "s|{{service_name}}|$2|" \
    -e "s|{{bounds}}|$bounds|" -e "s|{{limits.link_mbps}}|1000.0|" \
    -e "s|{{limits.cpu_share}}|0.2|" -e "s|{{limits.memory_mb}}|260|" \
    -e "s|{{listen_addrs.outbound}}|$ip:$((port + 7))|" \
    -e "s|{{listen_addrs.ready}}|$ip:$((port + 1))|" \
    -e "s|{{listen_addrs.control}}|$ip:$((port + 4))|" -e "s|{{ip}}|$ip|" \
    -e "s|{{port_range.0}}|$((port + 8))|" -e "s|{{port_range.1}}|$((port + 9))|" \
    -e "s|{{app_addr}}|$ip:$((port + 5))|" -e "s|{{platform.address}}|$store|" \
    "$root/deploy/settings.yaml" >"$work/node$1.yaml"
}

# The services of machines 1, 2 and so on, of which "stock" is divided by key.
# A "-" before one: the machine is added later.
start_world () { # start_world [-]SERVICE[@ZONE]...
  local n=0 machine service keyed later targets=()
  machines=0
  for machine; do
    n=$((n + 1))
    keyed=no
    later=
    [ "${machine#-}" = "$machine" ] || later=-
    machine=${machine#-}
    [ -n "$later" ] || machines=$n
    service=${machine%@*}
    [ "$service" = stock ] && keyed=yes
    write_settings $n "$service" "$([ "$service" = "$machine" ] && echo hall || echo "${machine#*@}")"
    targets+=("$later$service,$keyed,127.$net.$n:$((port + 5)),127.$net.$n:$((port + 4)),127.$net.$n:$((port + 7))")
  done
  "$bin"/world "$here/record.txt" "$store" "${targets[@]}" >"$work/world.out" 2>"$work/world.log" &
  for _ in $(seq 100); do
    grep -q ready "$work/world.out" && return
    sleep 0.05
  done
  cannot_run "the world did not start: $(cat "$work/world.log")"
}

command () { # command NAME [BODY]
  curl -s -m 2 -X POST --data-binary "${2:-}" "http://$store/control/$1"
}

start_node () { # start_node N
  (cd "$root" && exec target/crocusbend mesh "$work/node$1.yaml") >>"$work/node$1.log" 2>&1 &
  node_pid[$1]=$!
}

# A planned stop of node N: it is killed after the grace period.
stop_node () { # stop_node N
  command note "SIGTERM of node $(($1 - 1))"
  kill -TERM "${node_pid[$1]}"
  for _ in $(seq 60); do
    kill -0 "${node_pid[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -9 "${node_pid[$1]}" 2>/dev/null
  wait "${node_pid[$1]}" 2>/dev/null
}

restart_node () { # restart_node N
  stop_node "$1"
  start_node "$1"
  wait_ready "$1"
}

kill_node () { # kill_node N
  command note "SIGKILL of node $(($1 - 1))"
  kill -9 "${node_pid[$1]}"
  wait "${node_pid[$1]}" 2>/dev/null
}

is_ready () { # is_ready N
  [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.$net.$1:$((port + 1))/-/ready")" = 200 ]
}

wait_ready () { # wait_ready N
  for _ in $(seq 200); do
    is_ready "$1" && return
    sleep 0.05
  done
  cannot_run "node $1 did not become ready"
}

route () { # route NAME PREFIX KIND SERVICE
  printf '{"resource_type":"routes","metadata":{"name":"%s"},"spec":{"host":"clinic.example","prefix":"%s","kind":"%s","timeout_ms":2500,"target_latency_ms":400,"priority":1,"service_name":"%s","max_attempts":2}},' "$@"
}

# A service of the configuration; a case may add fields to all.
service () { # service NAME [MORE FIELDS, each with a comma before it]
  printf '{"resource_type":"services","metadata":{"name":"%s"},"spec":{"max_connections":110,"health_path":"/health"%s%s}},' \
    "$1" "${service_fields:-}" "${2:-}"
}

# The operator writes a version that has the routes ROUTES and others.
configure () { # configure VERSION ROUTES
  command config "$(printf '{"version":"r%s","entries":[%s%s%s%s%s{"resource_type":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}' \
    "$1" "$(route fit /fit/ idempotent fitting)" "$(route stock /stock/ idempotent stock)" "${2:-}" \
    "$(service fitting)" "$(service stock ',"sharded":true')")"
}

# Whether node N answers for keys all over the key space.
is_served () { # is_served N
  local key
  for key in 0 9000 20000 33000 45000 56000 65535; do
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: clinic.example' \
      -H "Crocusbend-Attempt-Id: s$RANDOM$RANDOM" -H 'Crocusbend-Timeout-Ms: 1500' \
      -H "Crocusbend-Shard-Key: $key" "http://127.$net.$1:$((port + 7))/stock/start")" = 200 ] || return 1
  done
}

start_nodes () {
  local n
  for n in $(seq "$machines"); do start_node "$n"; done
  for n in $(seq "$machines"); do wait_ready "$n"; done
  grep -q stock "$work/node1.yaml" || { sleep 3; return; }
  for _ in $(seq 100); do
    is_served 1 && return
    sleep 0.1
  done
  cannot_run "the keys are not served"
}

# What breaks a rule, as a line of the record.
broken () { # broken TEXT
  command note "BROKEN $*"
}

# Exit as the record says.
verdict () {
  if grep -q ' BROKEN ' "$here/record.txt"; then
    grep ' BROKEN ' "$here/record.txt" | head -5
    echo "broken"
    exit 1
  fi
  echo "held"
  exit 0
}
