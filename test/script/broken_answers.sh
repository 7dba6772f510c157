# The answers of the tests broken_answers and broken_answers_node.
# shellcheck shell=bash

# ask_cases: call ask with the title and the template of each answer.  What must
# not reach a caller bears "odd".
ask_cases () {
  local ok='HTTP/1.1 200 OK\r\n' length='Content-Length: 9\r\n' title line

  ask "sound" "$ok{fields}{length}\r\n{body}"
  ask "sound, closed at its end" "$ok{fields}\r\n{body}{end}"
  ask "any token as a name" "$ok{fields}!#\$&'*+-.^_\`|~9: x\r\n{length}\r\n{body}"
  ask "tabs and bytes above 127 in a value" "$ok{fields}X-Value: a\tb\xc3\xa9\xff\r\n{length}\r\n{body}"
  ask "interim answers" "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Odd: 1\r\n\r\n$ok{fields}{length}\r\n{body}"
  ask "204" 'HTTP/1.1 204 No Content\r\n{fields}\r\n'
  ask "chunks" "$ok{fields}Transfer-Encoding: chunked\r\n\r\n3;a=\"b\"\r\nabc\r\n0\r\nX-Odd: 1\r\n\r\n"

  for status in 000 099 600 999 101 20 2000; do
    ask "status $status" "HTTP/1.1 $status Odd\r\n{fields}{length}\r\n{body}"
  done
  ask "HTTP/2.0" 'HTTP/2.0 200 OK\r\n{fields}{length}\r\n{body}'
  ask "a control byte in the reason phrase" 'HTTP/1.1 200 O\001K\r\n{fields}{length}\r\n{body}'

  # A line before the other fields, so that it is the first of all.
  for line in 'X Odd: 1' 'X-Odd : 1' ' X-Odd: 1' '\tX-Odd: 1' 'X\tOdd: 1' 'X\001Odd: 1' 'X\177Odd: 1' \
    'X\xe9Odd: 1' 'X(Odd): 1' ': odd' 'X-Value: a\001odd' 'X-Value: a\rodd' 'odd'; do
    ask "first line '${line//\\/%}'" "$ok$line\r\n{fields}{length}\r\n{body}"
  done
  ask "a blank before the colon of the length" "$ok{fields}Content-Length : 3\r\n\r\nodd"
  ask "a folded line" "$ok{fields}X-Value: a\r\n odd\r\n{length}\r\n{body}"
  ask "a line feed alone" "$ok{fields}X-Value: a\nX-Odd: 1\r\n{length}\r\n{body}"

  for line in 'Content-Length: 3\r\nContent-Length: 5' 'Content-Length: 0x3' 'Content-Length: +3' \
    'Content-Length: 3, 5' 'Content-Length: 18446744073709551619' 'Content-Length: ' \
    'Transfer-Encoding: gzip' 'Transfer-Encoding: chunked, identity'; do
    ask "${line//\\/%}" "$ok{fields}$line\r\n\r\nodd"
  done
  ask "a length and chunks" "$ok{fields}${length}Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n"
  for line in '3 3' '0x3' '3 ' '+3' '3;' ''; do
    ask "a chunk of '$line'" "$ok{fields}Transfer-Encoding: chunked\r\n\r\n$line\r\nodd\r\n0\r\n\r\n"
  done
  ask "a chunk longer than it says" "$ok{fields}Transfer-Encoding: chunked\r\n\r\n2\r\nodd\r\n0\r\n\r\n"
  ask "a blank in the name of a trailer" "$ok{fields}Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nX Odd: 1\r\n\r\n"
  ask "an end within a chunk" "$ok{fields}Transfer-Encoding: chunked\r\n\r\n5\r\nodd{end}"
  ask "an end within the head" "$ok{fields}X-Odd: 1\r\n{end}"
  ask "an end within the body" "$ok{fields}${length}\r\nodd{end}"
  ask "a reset within a body without a length" "$ok{fields}\r\nodd{reset}"
}
