# Sourced by everything that listens: sets CB_PORT_BASE to the first of a block
# of ports that no other run on this machine has, unless it is set.  The block
# is held as long as a process of this run lives.
# shellcheck shell=bash
if [ -z "${CB_PORT_BASE:-}" ]; then
  # Blocks of 3,500 ports, below those that the kernel hands out by itself.
  for CB_PORT_BASE in 20000 10000 13500 24000 27500 6500 0; do
    if [ "$CB_PORT_BASE" -eq 0 ]; then
      echo "no block of ports is free" >&2
      exit 1
    fi
    exec {port_lock}>"${TMPDIR:-/tmp}/crocusbend-ports.$CB_PORT_BASE"
    flock -n "$port_lock" && break
    exec {port_lock}>&-
  done
  export CB_PORT_BASE
fi
