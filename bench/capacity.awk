# Computes the tables of docs/CAPACITY.md from lines "figure NAME VALUE UNIT".
# A formula names the figures that it uses.  A missing figure is an error; it
# does not count as zero.

function require_figure (name)
{
  if (!(name in figures)) {
    printf "capacity: no figure %s in bench/results\n", name > "/dev/stderr"
    failed = 1
    return 0
  }
  return figures[name]
}

# Interpolates linearly between the figures BASE_A and BASE_B at SIZE; beyond
# them it extrapolates.
function interpolate (base, a, b, size,    low, high)
{
  low = require_figure(base "_" a)
  high = require_figure(base "_" b)
  return low + (high - low) * (size - a) / (b - a)
}

function verdict (value, limit)
{
  return value <= limit ? "fits" : "**red**"
}

function print_row (a, b, c, d, e)
{
  printf "| %s | %s | %s | %s | %s |\n", a, b, c, d, e
}

function print_head (a, b, c, d, e)
{
  print_row(a, b, c, d, e)
  print "| --- | --- | --- | --- | --- |"
}

function round1 (x) { return sprintf("%.1f", x) }
function round2 (x) { return sprintf("%.2f", x) }
function round0 (x) { return sprintf("%d", x + 0.5) }

$1 == "figure" { figures[$2] = $3 }

function set_constants ()
{
  NODES = 6600
  MEMBERS = 66                 # in a cell
  CELLS = NODES / MEMBERS
  REQUESTS_PER_S = 47e6        # requests a second at all nodes
  KEYS = 6.9e9
  CHANGES_PER_DAY = 9400       # configuration changes a day
  RESTARTS_PER_DAY = 1900      # restarts a day
  DAY_S = 86400
  ZONE_SHARE = 1 / 10
  RACK_INSTANCES = 40          # instances in a rack, an assumption
  BYTES_PER_S_LIMIT = 2048     # control bytes a second, in and out
  CORE_PERCENT_LIMIT = 1.5     # % of a core
  MEMORY_LIMIT_MB = 32         # MB
  WRITES_PER_S_LIMIT = 300     # store writes a second; the goal is "several hundred"
  READS_PER_S_LIMIT = 2000     # store reads a second, counting each open watch as one
  VALUE_LIMIT_BYTES = 1000000
}

function print_control (   lease, documents, conf, rates, sum, per_cell, memory, cpu)
{
  lease = interpolate("lease_bytes", 16, 64, MEMBERS)
  per_cell = RESTARTS_PER_DAY / CELLS
  documents = 2 * interpolate("restart_document_bytes", 16, 64, MEMBERS) * per_cell / DAY_S
  # Each member receives a change once and forwards it to one other on average.
  conf = 2 * require_figure("config_16_bytes_per_change") * CHANGES_PER_DAY / DAY_S
  rates = require_figure("limits_128_nodes_allowance_busiest_node")
  sum = lease + documents + conf + rates
  print_head("control of one node", "formula", "value", "limit", "")
  print_row("leases", "bytes/s in and out at " MEMBERS " members (`bench-control`)", round0(lease) " B/s", "", "")
  print_row("documents", "2 x bytes of a restart x " round1(per_cell) " restarts a day in the cell (`bench-document`)", round0(documents) " B/s", "", "")
  print_row("configuration", "2 x bytes a change x " CHANGES_PER_DAY " changes a day (`bench-config`)", round0(conf) " B/s", "", "")
  print_row("allowances of trials", "busiest node (`bench-limits`)", round0(rates) " B/s", "", "")
  print_row("**sum of bytes**", "", round0(sum) " B/s", BYTES_PER_S_LIMIT " B/s", verdict(sum, BYTES_PER_S_LIMIT))
  cpu = require_figure("route.nodes16.processor_idle")
  print_row("processor time", "idle node among 16, all threads and system calls (`bench-route`)", round2(cpu) "% of a core", CORE_PERCENT_LIMIT "%", verdict(cpu, CORE_PERCENT_LIMIT))
  print_row("of it decisions", "agent at 64 members, without system calls (`bench-control`)", round2(require_figure("decision_time_64")) "%", "", "")
  memory = require_figure("route.nodes1.memory_idle") / 1000
  memory += (require_figure("route.nodes16.memory_idle") - require_figure("route.nodes1.memory_idle")) / 1000 / 15 * (MEMBERS - 1)
  print_row("memory, idle", "whole process alone, and its slope for each other member to 16, x " (MEMBERS - 1) " (`bench-route`)", round1(memory) " MB", MEMORY_LIMIT_MB " MB", verdict(memory, MEMORY_LIMIT_MB))
}

function print_data (   rate, entry, owner, cores, keys)
{
  rate = REQUESTS_PER_S / NODES
  print_head("requests at one node", "formula", "value", "limit", "")
  print_row("as entry and as owner", "47 million / " NODES, round0(rate) " requests/s each", "", "")
  # route.hop runs two nodes, each the entry node for 3,600 requests/s and the
  # owner's node for 3,600 requests/s.  The figure is the processor time of both
  # roles together for each request.
  cores = rate * require_figure("route.hop.node_processor") / 1e6
  print_row("processor time", "requests/s x processor time a request, both roles, one hop (`bench-route`)", round2(cores) " cores", "2 cores", verdict(cores, 2))
  print_row("p99 added by one hop", "at half load, over the direct path in the same run", round2(require_figure("route.hop_less_direct.p99") / 1000) " ms", "1 ms", verdict(require_figure("route.hop_less_direct.p99"), 1000))
  print_row("p99", "direct + hop + one way between availability zones twice (2 x 1 ms)", round2((require_figure("route.hop.p99") + 2000) / 1000) " ms", "11 ms", verdict(require_figure("route.hop.p99") + 2000, 11000))
  print_row("memory under load", "`bench-route`, one node at half load", round1(require_figure("route.node.memory_loaded") / 1000) " MB", "", "")
  keys = KEYS / NODES
  print_row("keys", "no state for each key: a slot's owner, " round0(4096 / MEMBERS) " slots a node, 190 pins", round0(keys) " keys", "", "")
}

function print_store (   restarts, changes, sum, reads, watches, doc, zone_writes, rack)
{
  print_head("store", "formula", "value", "limit", "")
  restarts = RESTARTS_PER_DAY * interpolate("restart_writes", 16, 64, MEMBERS) / DAY_S
  print_row("writes of restarts", RESTARTS_PER_DAY " a day x writes a restart (`bench-document`)", round2(restarts) " /s", "", "")
  changes = CHANGES_PER_DAY / DAY_S
  print_row("writes of configuration", CHANGES_PER_DAY " a day", round2(changes) " /s", "", "")
  sum = restarts + changes
  print_row("**writes, ordinary day**", "", round2(sum) " /s", WRITES_PER_S_LIMIT " /s", verdict(sum, WRITES_PER_S_LIMIT))
  watches = 2 * CELLS
  reads = RESTARTS_PER_DAY * interpolate("restart_reads", 16, 64, MEMBERS) / DAY_S + changes
  print_row("waiting watches", "2 members x " CELLS " cells", round0(watches), "", "")
  print_row("**reads, ordinary day**", "reads of restarts and commands, and each waiting watch as one", round1(reads + watches) " /s", READS_PER_S_LIMIT " /s", verdict(reads + watches, READS_PER_S_LIMIT))
  print_row("**steady state**", "`bench-control` at 64 members", round1(require_figure("steady_store_calls_64")) " /s a cell", "", "")
  doc = interpolate("document_bytes", 16, 64, MEMBERS)
  print_row("cell's document", "`bench-document`, and 190 pins of 60 B", round0(doc + 190 * 60) " B", VALUE_LIMIT_BYTES " B", verdict(doc + 190 * 60, VALUE_LIMIT_BYTES))
  # When a zone fails, every cell loses a tenth of its members at once.
  zone_writes = require_figure("takeover_zone_writes_64") / 16 * NODES * ZONE_SHARE
  print_row("**writes in the second of a zone's loss**", "writes for each member lost, of 16 lost of 64 (`bench-control`), x " round0(NODES * ZONE_SHARE) " lost", round0(zone_writes) " /s", WRITES_PER_S_LIMIT " /s", verdict(zone_writes, WRITES_PER_S_LIMIT))
  rack = require_figure("takeover_one_writes_64") * RACK_INSTANCES
  print_row("writes in the second of a rack's loss", "writes of one loss x " RACK_INSTANCES " instances in as many cells", round0(rack) " /s", WRITES_PER_S_LIMIT " /s", verdict(rack, WRITES_PER_S_LIMIT))
}

function print_fault (name, key, extra)
{
  print_row(name, "promise, swap and hint; `bench-control`, 64 members, worst of the rounds", round0(require_figure("takeover_" key "_worst_64")) " ms", extra, require_figure("takeover_" key "_worst_64") <= 1000 ? "fits" : "**red**")
}

function print_faults ()
{
  print_head("fault", "what it takes", "served again after", "limit", "")
  print_fault("one instance lost (7 a day)", "one", "1,000 ms")
  print_fault("instance and its guardian lost (rack)", "guardian", "1,000 ms")
  print_fault("an availability zone lost", "zone", "1,000 ms")
  print_row("killed node, real processes", "`bench-failover`, worst key of all losses", round0(require_figure("failover.kill.unavailable_worst")) " ms", "1,000 ms", verdict(require_figure("failover.kill.unavailable_worst"), 1000))
  print_row("stopped node, real processes", "`bench-failover`, worst key of all losses", round0(require_figure("failover.stop.unavailable_worst")) " ms", "1,000 ms", verdict(require_figure("failover.stop.unavailable_worst"), 1000))
  print_row("store down and an instance lost", "its keys wait for the store: outage of 5 s and then", round0(require_figure("takeover_outage_worst_64")) " ms after it is back", "1,000 ms", require_figure("takeover_outage_worst_64") <= 1000 ? "fits" : "**red**")
}

END {
  set_constants()
  if (table == "control") print_control()
  else if (table == "data") print_data()
  else if (table == "store") print_store()
  else if (table == "faults") print_faults()
  else failed = 1
  exit failed
}
