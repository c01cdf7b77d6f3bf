#!/usr/bin/env bash
# Starts the platform's stand-ins and three hosts as processes, and shows a
# pipeline request, an order, a change of the settings and a graceful stop.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --quiet --locked --workspace --bins --example caller

bin="${CARGO_TARGET_DIR:-target}/debug"
folder="$(mktemp -d)"
processes=()

cleanup() {
  local process
  for process in "${processes[@]}"; do
    kill -KILL "$process" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -r "$folder"
}
trap cleanup EXIT

fail() {
  echo "demo: $1" >&2
  tail -n 5 "$folder"/*.log >&2
  exit 1
}

# Starts a process, its output in a log of its own.
start() {
  local name="$1"
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  processes+=("$!")
}

# Waits until a command succeeds.
await() {
  local what="$1" tries=300
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "$what did not happen within 30 s"
    sleep 0.1
  done
}

# Prints the address in a line of a log, such as "listening":"127.0.0.1:1".
address() {
  local name="$1" key="$2"
  await "start of $name" grep --quiet "\"$key\":\"" "$folder/$name.log"
  sed -n "s/.*\"$key\":\"\([^\"]*\)\".*/\1/p" "$folder/$name.log" | head -n 1
}

ctl() {
  local host="$1"
  shift
  "$bin/persimmoncleatctl" --host "${callers[$host]}" --key-file "$folder/operator.key" "$@"
}

call() {
  local host="$1"
  shift
  "$bin/examples/caller" "${callers[$host]}" hvarfdal "$folder/team.key" "$@"
}

status_has() {
  ctl "$1" status --json | tr -d ' \n' | grep --quiet "$2"
}

sees_endpoints() {
  [ "$(ctl "$1" endpoints --json | grep --only-matching '"endpoint":' | wc -l)" -eq 12 ]
}

weight_is() {
  ctl "$1" config get teams/hvarfdal/urgent | grep weight | grep --quiet 250
}

echo "== platform"
start object-api "$bin/stand-ins" object-api
start host-list "$bin/stand-ins" host-list
objects="http://$(address object-api listening)"
hosts="http://$(address host-list listening)"

endpoint() {
  start "$1-$2" "$bin/stand-ins" endpoint --kind "$3" --id "$1-$2" --pool "$1" \
    --domain "is-$2" --host-list "$hosts"
  echo "$3 $1-$2 at $(address "$1-$2" listening)"
}

for number in 1 2; do
  endpoint encode "$number" pool
  endpoint retrieve "$number" pool
  endpoint rerank "$number" pool
  endpoint draft "$number" engine
  endpoint check "$number" engine
  endpoint publish "$number" service
done

echo "== hosts"
echo "fleet key of the demo" >"$folder/fleet.key"
echo "operator key of the demo" >"$folder/operator.key"
printf 'team key of the demo' >"$folder/team.key"

declare -A callers
declare -A daemons
peers=""

for number in 1 2 3; do
  host="h$number"
  cat >"$folder/$host.ini" <<INI
[host]
id = $host
domain = is-$number
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
${peers:+peers = $peers}

[platform]
object_api = $objects
host_list = $hosts

[keys]
fleet_file = fleet.key
operator_file = operator.key
INI
  start "$host" "$bin/persimmoncleatd" --config "$folder/$host.ini"
  daemons[$host]="$!"
  callers[$host]="$(address "$host" caller_address)"
  peers="${peers:+$peers, }$(address "$host" peer_address)"
  echo "$host for callers at ${callers[$host]}"
done

echo "== settings"
cat >"$folder/settings.ini" <<INI
[teams/hvarfdal]
deadline = 20000
key_sha256 = $(sha256sum "$folder/team.key" | cut -d ' ' -f 1)

[teams/hvarfdal/urgent]
priority = 8

[pipelines/almanac]
stages = encode, retrieve, rerank, draft, check

[pipelines/note]
stages = draft

[pipelines/publish]
stages = publish

[pools/check]
kind = engine

[pools/draft]
kind = engine

[pools/encode]
kind = pool

[pools/publish]
kind = service

[pools/rerank]
kind = pool

[pools/retrieve]
kind = pool
INI
await "acceptance of the settings" ctl h1 config apply "$folder/settings.ini"

for host in h1 h2 h3; do
  await "readiness of $host" status_has "$host" '"ready":true'
  await "endpoints on $host" sees_endpoints "$host"
done

echo "== a request through five stages"
call h1 almanac "tides-1 volume for the south coast" --tokens 12 || fail "the request was refused"

echo "== an order that runs once, under a ticket"
call h1 publish "issue-7 send to subscribers" --once --tokens 8 || fail "the order was refused"

echo "== a change of the settings, in force on every host"
ctl h2 config set teams/hvarfdal/urgent weight 250 || fail "the change was refused"

for host in h1 h2 h3; do
  await "the change on $host" weight_is "$host"
  echo "$host: $(ctl "$host" config get teams/hvarfdal/urgent | grep weight)"
done

echo "== a graceful stop of h2 with a request in progress"
call h2 note "letter-1 to the harbour masters" --once --stream --tokens 1000 >"$folder/stream.txt" &
caller="$!"
await "the request in progress" status_has h2 '"outstanding":1'
kill -TERM "${daemons[h2]}"
wait "$caller" || fail "the request was cut off"
tail -n 1 "$folder/stream.txt"
grep --quiet '"end":true' "$folder/stream.txt" || fail "the stream has no end line"
wait "${daemons[h2]}" || fail "h2 did not end with exit code 0"

echo "demo: ok"
