# Sourced by every script that opens listening ports.  Unless CB_PORT_BASE is
# set, sets it to the first port of a block that no other test run on this
# machine uses.  The block stays locked while any process of this run is alive.
# shellcheck shell=bash
if [ -z "${CB_PORT_BASE:-}" ]; then
  # Blocks of 3,500 ports, below the ephemeral port range of the kernel.
  for CB_PORT_BASE in 20000 10000 13500 24000 27500 6500 0; do
    if [ "$CB_PORT_BASE" -eq 0 ]; then
      echo "no free block of ports" >&2
      exit 1
    fi
    exec {port_lock}>"${TMPDIR:-/tmp}/crocusbend-ports.$CB_PORT_BASE"
    flock -n "$port_lock" && break
    exec {port_lock}>&-
  done
  export CB_PORT_BASE
fi
