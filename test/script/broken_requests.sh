# The requests of the tests broken_requests and broken_requests_node.
# shellcheck shell=bash

# raw PORT BYTES: send BYTES, with the escapes of printf, and print the answer.
raw () {
  {
    exec 9<>"/dev/tcp/127.0.0.1/$1"
    printf '%b' "$2" >&9
    timeout 1 cat <&9
    exec 9>&-
  } 2>/dev/null | tr -d '\r\0'
}

# request_cases LINE HEAD: call ask with the title and the bytes of each request;
# LINE is its start line and HEAD the fields that it needs.
request_cases () {
  local line=$1$'\r\n' head=$2 length='Content-Length: 2\r\n' field

  ask "sound" "$line$head$length\r\nok"
  ask "sound, in chunks" "$line${head}Transfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nok\r\n0\r\nX: y\r\n\r\n"
  ask "any token as a name, tabs and bytes above 127" "$line$head!#\$&'*+-.^_\`|~9: a\tb\xc3\xa9\xff\r\n$length\r\nok"

  for field in 'X Y: z' 'X : z' ' X: z' 'X\tY: z' 'X\001Y: z' 'X\177: z' 'X(Y): z' 'X\xe9: z' ': z' \
    'X: a\001b' 'X: a\rb' 'X: a\x00b' 'no colon'; do
    ask "field '${field//\\/%}'" "$line$head$length$field\r\n\r\nok"
  done
  ask "a folded line" "$line${head}X: a\r\n b\r\n$length\r\nok"
  ask "a line feed alone" "$line${head}X: a\n$length\r\nok"

  for field in 'Content-Length : 2' 'Content-Length: +2' 'Content-Length: 0x2' 'Content-Length: 2, 2' \
    'Content-Length: 2\r\nContent-Length: 3' 'Content-Length: 18446744073709551618' 'Content-Length: '; do
    ask "${field//\\/%}" "$line$head$field\r\n\r\nok"
  done
  for field in 'gzip' 'chunked, identity' 'gzip, chunked' 'identity'; do
    ask "transfer coding $field" "$line${head}Transfer-Encoding: $field\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  done
  ask "a length and chunks" "$line$head${length}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  for field in '2 2' '2 ' '+2' '0x2' '2;' ''; do
    ask "a chunk of '$field'" "$line${head}Transfer-Encoding: chunked\r\n\r\n$field\r\nok\r\n0\r\n\r\n"
  done
  ask "a chunk longer than it says" "$line${head}Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n"
  ask "a blank in the name of a trailer" "$line${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n"

  ask "HTTP/2.0" "${line/1.1/2.0}$head$length\r\nok"
  ask "a blank in the target" "${line/ HTTP/ x HTTP}$head$length\r\nok"
  ask "a control byte in the target" "${line/ HTTP/\\001 HTTP}$head$length\r\nok"
  ask "a method that is no token" "P(T${line#POST}$head$length\r\nok"
}
