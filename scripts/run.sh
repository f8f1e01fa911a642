#!/usr/bin/env bash
# Starts the simulated platform, three entries and four workers as processes on loopback, sends requests and commands to the entries,
# prints the responses and stops every process that it started. With KEEP=1 the processes run until the script is interrupted.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
clean_up_at_exit 0
wait_for() {
  poll 150 0.1 "$@" && return
  echo "timed out waiting for: $*" >&2
  tail -n 5 "$logs"/* >&2
  return 1
}
order() { # order ENTRY STATEMENT: runs one statement on entry-ENTRY and prints the result
  bin/acaciatally do -address "127.0.0.1:1720$1" -token run-token "$2"
}
shows() { # shows ENTRY STATEMENT PATTERN: succeeds if the result of the statement matches the pattern
  order "$1" "$2" | matches "$3"
}
call() { # call ENTRY PATH [CURL ARGUMENTS]: sends a request and prints the status, headers and body of the response
  local entry=$1 path=$2
  shift 2
  curl -si -H 'Acaciatally-Team: observatories' "$@" "http://127.0.0.1:1710$entry$path" |
    tr -d '\r' | grep -vE '^(Date|Content-Length|Vary):' | sed 's/^/    /'
  echo
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
echo "three entries are ready; pools of the deployment:"
order 1 'show pools'
echo
echo "idempotent request to entry-2:"
call 2 /coating/slots
echo "non-idempotent request to entry-1, then the same request to entry-3, which returns the recorded response:"
id=$(request_id)
call 1 /coating/strip -H "Acaciatally-Request-Id: $id" -d 'mirror 7'
call 3 /coating/strip -H "Acaciatally-Request-Id: $id" -d 'mirror 7'
echo "request for an unknown service, rejected without being run:"
call 3 /nothing/here
echo "task submitted to entry-1:"
# The command tells the simulated workers which resources the task uses and for how long, in nanoseconds.
work=$(printf '{"Uses":{"Processors":1,"Memory":536870912},"Work":1000000000}' | base64 -w0)
curl -sf -H 'Acaciatally-Team: observatories' -H 'Content-Type: application/json' \
  -d '{"ID":"inspection-1","Pool":"coating","Kind":"inspection","Processors":2,"Memory":1073741824,"Command":"'"$work"'"}' \
  http://127.0.0.1:17101/tasks | sed 's/^/    /'
wait_for shows 2 'show tasks where ID = inspection-1' Done
echo "task as reported by entry-2:"
order 2 'explain task inspection-1'
echo
echo "move of backoffice-1 to pool coating, ordered at entry-1:"
order 1 'move backoffice-1 to coating'
wait_for shows 3 'show instances where ID = backoffice-1 and Phase = Serving' coating
echo "instance as reported by entry-3:"
order 3 'explain instance backoffice-1'
if [ -n "${KEEP:-}" ]; then
  echo "the processes keep running; interrupt to stop them. callers: 127.0.0.1:17101-17103, operators: 127.0.0.1:17201-17203, for example:"
  echo "  bin/acaciatally do -address 127.0.0.1:17201 -token run-token 'show instances'"
  wait
fi
