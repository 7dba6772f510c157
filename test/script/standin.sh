# Functions for scripted tests that use the stand-ins.
# shellcheck shell=bash
. "$(dirname "${BASH_SOURCE[0]}")/../lib/ports.sh"
base=$CB_PORT_BASE
work=$(mktemp -d)
pids=()

stop_all () {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null
  wait
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM [OPTION...]: start PROGRAM, wait until it prints "ready"
# and set $pid to its process id.
start () {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pid=$!
  pids+=("$pid")
  for _ in $(seq 1000); do
    grep -q ready "$work/$name.out" && return
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.01
  done
  echo "$name did not become ready"
  cat "$work/$name.err"
  exit 1
}

# http PORT METHOD PATH [BODY [HEADER...]]: print the status and the body of the
# response, or "closed" if the response is missing or truncated.
http () {
  local port=$1 method=$2 path=$3 body=${4-} header
  shift $(($# < 4 ? $# : 4))
  local answer=$work/answer.$BASHPID
  : >"$answer"
  (
    trap '' PIPE # a closed connection shows as a missing response
    exec 9<>"/dev/tcp/127.0.0.1/$port" || exit
    {
      printf '%s %s HTTP/1.1\r\nHost: test\r\nConnection: close\r\n' \
        "$method" "$path"
      for header in "$@"; do printf '%s\r\n' "$header"; done
      printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body"
    } >&9
    tr -d '\r' <&9 >"$answer"
  ) 2>/dev/null
  awk '
    NR == 1 { status = $2 }
    tolower ($1) == "content-length:" { length_ = $2 }
    tolower ($1) == "crocusbend-not-run:" { status = status " not-run" }
    in_body { body = body $0 "\n" }
    $0 == "" { in_body = 1 }
    END {
      sub (/\n+$/, "", body)
      if (status == "" || length (body) + 1 < length_)
        print "closed"
      else
        print status, body
    }' "$answer"
}

# until_true COMMAND...: wait up to 30 s until COMMAND succeeds.
until_true () {
  for _ in $(seq 3000); do
    "$@" && return
    sleep 0.01
  done
  echo "timed out after 30 s: $*"
  exit 1
}
