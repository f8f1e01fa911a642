#!/usr/bin/env bash
# Checks that entries restarted from a snapshot show the state that it was taken of: three entries of one build commit changes until a
# snapshot is stored, are stopped, and are replaced by entries of a second build. Usage: scripts/snapshot.sh FIRST-BUILD-FOLDER SECOND-BUILD-FOLDER
set -euo pipefail
source "$(dirname "$0")/lib.sh"
cd "$(dirname "$0")/.."
first=$(realpath "${1:?}") second=$(realpath "${2:?}")
logs=$(mktemp -d)
clean_up_at_exit 1
wait_for() {
  poll 900 0.1 "$@" && return
  echo "timed out waiting for: $*" >&2
  return 1
}
start_entries() { # start_entries BUILD
  local i
  for i in 1 2 3; do start "entry-$i" "$1/acaciatally" serve -settings examples/run.yaml -entry "entry-$i"; done
  for i in 1 2 3; do wait_for curl -sf "http://127.0.0.1:1720$i/readyz"; done
}
run() { "$first/acaciatally" do -address "127.0.0.1:1720$1" -token run-token "${@:2}"; } # run ENTRY [STATEMENT]: or statements from input
show_state() { for what in pools instances teams waves options; do run "$1" "show $what"; done; }
snapshot_stored() {
  curl -s -H 'Content-Type: application/json' -d '{"Name":"Snapshot/"}' http://127.0.0.1:17000/objects/list | matches 'Snapshot/'
}

start platform "$first/standin" platform -listen 127.0.0.1:17000
wait_for curl -sf http://127.0.0.1:17000/admin/counters
start_entries "$first"
for n in $(seq 560); do echo "set quota observatories $((n % 20 + 1))"; done | run 1 >/dev/null
wait_for snapshot_stored
show_state 1 >"$logs/before"
for i in 1 2 3; do
  kill -TERM "${pids[entry-$i]}"
  wait "${pids[entry-$i]}"
done
start_entries "$second"
for i in 1 2 3; do
  show_state "$i" >"$logs/after"
  diff "$logs/before" "$logs/after"
done
echo "all entries show the state of the snapshot"
