# Random faults in the answers of targets: late copies, second answers, refusals
# that are copies, answers that are cut, that are junk or that have no end, to
# requests in a row, with and without keys, to streams, grants and releases.
#
# upstream.sh BUILD [SEED...]: prints a line for each seed, and "ok" if no request
# that must run once ran twice, none was refused and ran, none got the answer to
# another, no key had two holders, and all is served after it.
. "$(dirname "$0")/../script/mesh_lib.sh"
build=$1
shift
[ $# -gt 0 ] || set -- 1 2 3 4 5 6
export MAX_BODY_BYTES=67108864
MEMORY_MB=260
targets=()
vias=()
for n in 1 2 3 4; do
  p=$((base + 3100 + 10 * n))
  service=stock:yes
  [ "$n" -lt 3 ] || service=fitting:no
  targets+=("$service:$((p + 7)):$((p + 2)):$((p + 1))")
  vias+=("$((p + 1)):$((p + 7))")
done
failed=0

start platform "$build"/standin_platform "$store" "${targets[@]}"
start garbler "$build"/standin_garbler "$garbler" "${vias[@]}"
for n in 1 2 3 4; do
  [ "$n" -lt 3 ] && write_settings $n stock || write_settings $n fitting
  sed -i "s/^node:/node:\n  memory_mb: $MEMORY_MB/" "$work/node$n.yaml"
  start_node $n
done
configure 2 "$(route take /take/ non_idempotent stock 5000)$(route buy /buy/ non_idempotent fitting 5000)"

# clients NODE PATH OPTION...: in the background
clients () {
  local node=$1 path=$2
  shift 2
  "$build"/standin_clients --for-ms 3000 --wait-ms 2500 --timeout-ms 2000 "$@" \
    $((base + 3103 + 10 * node)) "$path" >"$work/clients.${#loads[@]}" &
  loads+=($!)
}

# check SEED: of what ran and what the clients saw
check () {
  cat "$work"/clients.* >"$work/ends"
  awk -v seed="$1" '
    FNR == NR {
      if ($1 == "run" && $2 !~ /^any/) twice += (++ran[$2] == 2)
      holders += ($1 == "double" || $1 == "token")
      next
    }
    $1 == "answered" && $3 == 503 && ($2 in ran) { refused++ }
    $1 == "answered" && $3 == 200 { ok++ }
    $1 == "mixed" { mixed++ }
    END {
      bad = twice + refused + mixed + holders > 0 || ok == 0
      printf "seed %d: twice %d, refused and ran %d, mixed %d, two holders %d, %d of %d served: %s\n",
        seed, twice, refused, mixed, holders, ok, NR - FNR, (bad ? "FAILED" : "ok")
      exit bad
    }' "$work/platform.out" "$work/ends"
}

all_served >&2
for seed in "$@"; do
  : >"$work/platform.out"
  rm -f "$work"/clients.*
  loads=()
  spoil match=/-/grant
  spoil "random=$seed"
  clients 2 "/take/x?ms=30" --method POST --keyed --tagged --connections 6 --name "keyed$seed"
  clients 1 "/take/x?ms=10" --method POST --keyed --tagged --connections 4 --depth 3 --name "row$seed"
  clients 3 "/buy/x?ms=20" --method POST --tagged --connections 4 --depth 2 --name "one$seed"
  clients 4 "/fit/x?ms=10" --tagged --connections 4 --name "any$seed"
  clients 1 "/buy/x?ms=10&size=400000" --method POST --connections 2 --body 100000 --chunked --name "stream$seed"
  sleep 0.7
  control 0/drain
  sleep 1
  control 0/reborn
  wait "${loads[@]}"
  spoil calm
  check "$seed" || failed=1
  unserved=$(all_served)
  [ -z "$unserved" ] || { echo "seed $seed: $unserved"; failed=1; }
  for n in 1 2 3 4; do
    kill -0 "${node_pid[$n]}" || { echo "seed $seed: node $n has ended"; tail -n 30 "$work/log$n"; failed=1; }
  done
done
spoil count
for n in 1 2 3 4; do
  awk -v n=$n -v max=$((MEMORY_MB * 1024)) '$1 == "VmHWM:" && $2 > max { print "node " n ": " $2 " KiB"; bad = 1 } END { exit bad }' \
    "/proc/${node_pid[$n]}/status" || failed=1
done
exit $failed
