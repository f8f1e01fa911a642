#!/usr/bin/env bash
# Runs the stand-in platform, three entries and four workers as processes on loopback, sends requests and commands through
# them, prints what happened and stops every process that it started. KEEP=1 leaves them up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
pids=()
stop() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap stop EXIT
trap 'exit 0' INT TERM
start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  pids+=($!)
}
wait_for() {
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  tail -n 5 "$logs"/* >&2
  return 1
}
order() { # order ENTRY STATEMENT: carries out one statement through entry-ENTRY
  bin/acaciatally do -address "127.0.0.1:1720$1" -token run-token "$2"
}
shows() { # shows ENTRY STATEMENT PATTERN: succeeds when the answer holds the pattern
  order "$1" "$2" | grep -q "$3"
}
call() { # call ENTRY PATH [curl arguments]: sends a request and prints status, headers and body
  local entry=$1 path=$2
  shift 2
  curl -si -H 'Acaciatally-Team: observatories' "$@" "http://127.0.0.1:1710$entry$path" |
    tr -d '\r' | grep -vE '^(Date|Content-Length|Vary):' | sed 's/^/    /'
  echo
}
request_id() { # a ULID: ten characters of time in milliseconds, sixteen random ones
  local alphabet=0123456789ABCDEFGHJKMNPQRSTVWXYZ id='' time
  time=$(date +%s%3N)
  for _ in $(seq 10); do
    id=${alphabet:$((time % 32)):1}$id
    time=$((time / 32))
  done
  for _ in $(seq 16); do id=$id${alphabet:$((RANDOM % 32)):1}; done
  echo "$id"
}

start platform bin/standin platform -listen 127.0.0.1:17000 -reboot-time 2s -list-lag 5s
wait_for curl -sf http://127.0.0.1:17000/admin/counters
halls=(hall-a hall-b annex hall-a)
racks=(hall-a-1 hall-b-1 annex-1 hall-a-2)
names=(coating-1 coating-2 backoffice-1 backoffice-2)
for i in 0 1 2 3; do
  start "${names[$i]}" bin/standin worker -id "${names[$i]}" -listen "127.0.0.1:1740$((i + 1))" \
    -platform 127.0.0.1:17000 -data-centre "${halls[$i]}" -rack "${racks[$i]}"
done
for i in 1 2 3; do
  start "entry-$i" bin/acaciatally serve -settings examples/run.yaml -entry "entry-$i"
done
for i in 1 2 3; do wait_for curl -sf "http://127.0.0.1:1720$i/readyz"; done
echo "three entries are ready; the deployment:"
order 1 'show pools'
echo
echo "an idempotent request through entry-2:"
call 2 /coating/slots
echo "a non-idempotent request through entry-1, then the same again through entry-3, which gets the recorded answer:"
id=$(request_id)
call 1 /coating/strip -H "Acaciatally-Request-Id: $id" -d 'mirror 7'
call 3 /coating/strip -H "Acaciatally-Request-Id: $id" -d 'mirror 7'
echo "a request for an unknown service, refused as not run:"
call 3 /nothing/here
echo "a task, accepted through entry-1:"
# The simulated workers read what a task uses, and for how many nanoseconds, from its command.
work=$(printf '{"Uses":{"Processors":1,"Memory":536870912},"Work":1000000000}' | base64 -w0)
curl -sf -H 'Acaciatally-Team: observatories' -H 'Content-Type: application/json' \
  -d '{"ID":"inspection-1","Pool":"coating","Kind":"inspection","Processors":2,"Memory":1073741824,"Command":"'"$work"'"}' \
  http://127.0.0.1:17101/tasks | sed 's/^/    /'
wait_for shows 2 'show tasks where ID = inspection-1' Done
echo "the task through entry-2:"
order 2 'explain task inspection-1'
echo
echo "backoffice-1 moves to coating through entry-1:"
order 1 'move backoffice-1 to coating'
wait_for shows 3 'show instances where ID = backoffice-1 and Phase = Serving' coating
echo "read back through entry-3:"
order 3 'explain instance backoffice-1'
if [ -n "${KEEP:-}" ]; then
  echo "left up; interrupt to stop. callers: 127.0.0.1:17101-17103, operators: 127.0.0.1:17201-17203, for example:"
  echo "  bin/acaciatally do -address 127.0.0.1:17201 -token run-token 'show instances'"
  wait
fi
