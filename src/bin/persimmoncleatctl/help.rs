//! Footers of the `--help` texts.

pub const MAIN: &str = "\
Exit codes: 0 success, 1 any other failure, 2 wrong usage or file, 3 refused \
change, 4 unreachable service.

Examples:
  persimmoncleatctl config check almanac.ini
  persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key status
  persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config set teams/hvarfdal/volume deadline 9000";

pub const CHECK: &str = "\
Needs no host and prints every error.

A section of the file is a path and its entries are keys:
  [teams/hvarfdal/volume]
  deadline = 9000

Paths: teams/TEAM/CLASS, pipelines/PIPELINE/STAGE and pools/POOL. A key set on \
a path applies to all paths below it.

Example: persimmoncleatctl config check almanac.ini";

pub const APPLY: &str = "\
The file is the whole tree. Prints its differences from the tree in force, \
then submits them as one change. Values that the file lacks are unset only with \
--remove.

Examples:
  persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config apply almanac.ini --dry-run
  persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config apply almanac.ini";

pub const GET: &str = "\
Prints the values in force on PATH, inherited ones and defaults included, and \
the values set below it.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config get teams/hvarfdal/volume --explain";

pub const SET: &str = "\
The change is applied only if the value is still the one that was in force \
when the command started; otherwise both values are printed and nothing changes.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config set teams/hvarfdal rate 40";

pub const EXPORT: &str = "\
Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config export > almanac.ini";

pub const HISTORY: &str = "\
Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
config history --limit 5";

pub const STATUS: &str = "\
Times are in milliseconds and count from the start of the daemon. A latency \
without a stage is that of the whole request.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key status";

pub const BACKLOG: &str = "\
Ages and estimated lateness are in milliseconds.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key backlog";

pub const ENDPOINTS: &str = "\
OUTSTANDING counts the calls of this host; QUEUED and RUNNING are reported by \
the endpoint.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key endpoints";

pub const EXPLAIN: &str = "\
Times are in milliseconds since the request arrived. Query the host whose name \
the id starts with.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key \
explain h1.1786000000000000.5f0c

With --metrics, shows where a request would go now at a host that serves routes, \
and what would refuse it, without sending it. Needs no key.

Example: persimmoncleatctl explain --metrics 10.1.0.3:9464 --name api.example \
--path /chat/ --team almanac --parts system:900,session:50";

pub const DRAIN: &str = "\
The host takes no new work, finishes what is in progress and exits with 0.

Example: persimmoncleatctl --host 127.0.0.1:7001 --key-file operator.key drain";

pub const REPLAY: &str = "\
Needs no host. The prefix of the file name selects the state machine to \
replay: claims-, lease-, scheduler- or settings-.

Example: persimmoncleatctl replay tests/traces/settings-every-peer-fails.json";

pub const TIMELINE: &str = "\
Needs no host; reads the logs of hosts that serve routes. The clocks of hosts \
may differ, so lines of two hosts can be out of order.

Example: persimmoncleatctl timeline 9c41d07be2a35f68 front-1.log front-2.log";
