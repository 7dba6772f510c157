# Reads a record and prints how often rule OWNER was broken by grants of the
# keys at the start of each slot of 128 keys:
# fence: an upstream took a key with a fence number that isn't above all with
#   which another upstream had it;
# both: two upstreams held a key for over half a second.
function number(field, at) {
  for (at = 4; at <= NF; at++)
    if (index($at, field "=") == 1)
      return substr($at, length(field) + 2) + 0
  return 0
}
$3 == "release-asked" {
  for (k = int((number("from") + 127) / 128) * 128; k <= number("to"); k += 128)
    until[$2, k] = 0
}
$3 == "granted" || $3 == "renewed" {
  seen[$2] = 1
  fence = number("fence")
  end = $1 + number("hold_ms")
  to = number("to")
  for (k = int((number("from") + 127) / 128) * 128; k <= to; k += 128) {
    for (other in seen)
      if (other != $2) {
        if (taken[$2, k] < taken[other, k] && fence <= highest[other, k]) {
          if (fences++ == 0)
            print "first: " $0 "; " other " had key " k " with fence " highest[other, k]
        }
        common = until[other, k] < end ? until[other, k] : end
        if (common - $1 > 500 && !counted[$2, k]++) {
          if (boths++ == 0)
            print "first: " $0 "; " other " holds key " k " for " until[other, k] - $1 " ms more"
        }
      }
    taken[$2, k] = $1
    until[$2, k] = end
    if (fence > highest[$2, k])
      highest[$2, k] = fence
  }
}
END { print "fence " fences + 0 " both " boths + 0 }
