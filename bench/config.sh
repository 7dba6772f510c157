#!/usr/bin/env bash
# Measures how a configuration change spreads, with real processes on this
# machine:
#   figure config_N_in_force_median, config_N_in_force_max
#                                     time from the command until it is in force
#                                     at every node
#   figure config_N_bytes_per_change  configuration bytes received by each node
#   figure config_N_store_calls_per_change  by all nodes together
#   figure config_N_race_accepted, config_N_race_reverts  of 50 concurrent
#                                     commands
# Usage: bench/config.sh BUILD [NODES...]; the default is 4, 16 and 32 nodes.
set -u
cd "$(dirname "$0")/.."
. test/lib/cluster.sh
. test/script/config_lib.sh
build=${1:-build}
shift
[ $# -gt 0 ] || set -- 4 16 32
CHANGES=20
RACE_COMMANDS=50

print_figure () { echo "figure $1 $2 $3"; }

# in_force_times REVISION: prints when the revision took effect at each node,
# in Unix milliseconds.
in_force_times ()
{
  grep -h " 6003 .*revision=$1\$" "$CLUSTER_DIR"/node*.err | cut -d ' ' -f 1 \
    | date -f - +%s%3N | sort -n
}

# is_in_force_at REVISION COUNT: whether it is in force at COUNT nodes.
is_in_force_at () { [ "$(in_force_times "$1" | wc -l)" -ge "$2" ]; }

# counter N NAME: prints a counter of node N.
counter ()
{
  curl -s "http://127.0.0.1:$(operator_port "$1")/metrics" \
    | awk -v name="crocusbend_$2" '$1 == name { print $2 }'
}

# sum_counter COUNT NAME: prints the sum of a counter over nodes 1 to COUNT.
sum_counter ()
{
  local n sum=0
  for n in $(seq "$1"); do sum=$((sum + $(counter "$n" "$2"))); done
  echo "$sum"
}

store_calls ()
{
  control '{}' | tr ',{}' '\n' \
    | awk -F : '/"(reads|writes|leases|watches_opened)"/ { n += $2 }
                END { print n }'
}

# time_change COUNT REVISION: prints the milliseconds until a change, which
# becomes REVISION, is in force at all COUNT nodes.
time_change ()
{
  local start_ms last_ms
  start_ms=$(date +%s%3N)
  ask $(($2 % $1 + 1)) "mark organisation org-$2 paying" >/dev/null
  wait_until "$CONFIG_WAIT_S" is_in_force_at "$2" "$1" || return 1
  last_ms=$(in_force_times "$2" | tail -n 1)
  echo $((last_ms - start_ms))
}

measure_changes ()
{
  local count=$1 revision=$2 calls bytes full_fetches times i
  calls=$(store_calls)
  bytes=$(sum_counter "$count" config_bytes_in_total)
  full_fetches=$(sum_counter "$count" config_wholes_total)
  for i in $(seq "$CHANGES"); do
    time_change "$count" $((revision + i)) || return 1
  done | sort -n >"$CLUSTER_DIR/times"
  times=$(wc -l <"$CLUSTER_DIR/times")
  calls=$(($(store_calls) - calls))
  bytes=$(($(sum_counter "$count" config_bytes_in_total) - bytes))
  full_fetches=$(($(sum_counter "$count" config_wholes_total) - full_fetches))
  print_figure "config_${count}_changes_in_force" "$times" changes
  print_figure "config_${count}_in_force_median" \
    "$(sed -n "$(((times + 1) / 2))p" "$CLUSTER_DIR/times")" ms
  print_figure "config_${count}_in_force_max" "$(tail -n 1 "$CLUSTER_DIR/times")" ms
  print_figure "config_${count}_bytes_per_change" \
    $((bytes / CHANGES / count)) bytes/node
  print_figure "config_${count}_wholes" "$full_fetches" fetches
  print_figure "config_${count}_store_calls_per_change" \
    "$(awk "BEGIN { printf \"%.1f\", $calls / $CHANGES }")" calls
}

# count_reverts: counts, from the logs, how often a node put a revision in
# force that was not higher than the one before.
count_reverts ()
{
  local f
  for f in "$CLUSTER_DIR"/node*.err; do
    sed -n 's/.* 6003 .*revision=\([0-9]*\)$/\1/p' "$f"
    echo 0 end
  done | awk '$2 == "end" { last = 0; next } $1 <= last { n++ }
              { last = $1 } END { print n + 0 }'
}

measure_race ()
{
  local count=$1 last_revision=$2 i start_ms pids=
  start_ms=$(now_ms)
  for i in $(seq "$RACE_COMMANDS"); do
    ask $((i % count + 1)) "mark organisation race-$i paying" \
      >"$CLUSTER_DIR/race.$i" &
    pids="$pids $!"
  done
  # shellcheck disable=SC2086
  wait $pids
  print_figure "config_${count}_race_answered" $(($(now_ms) - start_ms)) ms
  wait_until "$CONFIG_WAIT_S" is_in_force_at \
    $((last_revision + RACE_COMMANDS)) "$count" \
    && print_figure "config_${count}_race_in_force" $(($(now_ms) - start_ms)) ms
  print_figure "config_${count}_race_accepted" \
    "$(cat "$CLUSTER_DIR"/race.* | grep -c '^Accepted as revision')" commands
  print_figure "config_${count}_race_reverts" "$(count_reverts)" reverts
}

bench_cell ()
{
  local count=$1
  open_cell "$count" || return 1
  ask 1 "create service $CLUSTER_SERVICE" >/dev/null
  wait_until "$CONFIG_WAIT_S" is_in_force_at 1 "$count" || return 1
  measure_changes "$count" 1 || return 1
  measure_race "$count" $((CHANGES + 1))
  stop_all
  CLUSTER_PID=()
}

for count in "$@"; do
  (cluster_open "$build"; bench_cell "$count") || exit 1
done
print_figure load_average "$(cut -d ' ' -f 1 /proc/loadavg)" processes
