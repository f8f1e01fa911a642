#!/usr/bin/env bash
# Starts an example deployment as processes on loopback (platform, nine entries, 49 workers), prints the CPU usage and memory of each
# idle entry, runs a maintenance wave over the fleet and fails unless it completes. Usage: scripts/fleet.sh authority|cavalcanti
set -euo pipefail
source "$(dirname "$0")/lib.sh"
cd "$(dirname "$0")/.."
settings=examples/${1:-authority}.yaml
idle_seconds=20
export ACACIATALLY_TOKEN=replace-this-token
logs=$(mktemp -d)
entries=()
clean_up_at_exit 1
wait_for() {
  poll 1200 0.5 "$@" && return
  echo "timed out waiting for: $*" >&2
  return 1
}
order() {
  bin/acaciatally do -address "$operator" "$1"
}
shows() {
  order "$1" | matches "$2"
}
ticks() { # ticks PID: prints the CPU time of a process in clock ticks of 10 ms
  awk '{print $14 + $15}' "/proc/$1/stat"
}

platform=$(sed -nE 's/^  Address: (.*)/\1/p' "$settings")
start platform bin/standin platform -listen "$platform" -reboot-time 2s -list-lag 5s
wait_for curl -sf "http://$platform/admin/counters"
start_workers bin/standin "$settings" "$platform"
while read -r line; do
  start "$(field ID "$line")" bin/acaciatally serve -settings "$settings" -entry "$(field ID "$line")"
  entries+=("${pids[$(field ID "$line")]}")
  operator=$(field OperatorAddress "$line")
  wait_for curl -sf "http://$operator/readyz"
done < <(grep 'PeerAddress:' "$settings")
order 'show pools'

sleep 5
before=()
for pid in "${entries[@]}"; do before+=("$(ticks "$pid")"); done
sleep "$idle_seconds"
for i in "${!entries[@]}"; do
  used=$(($(ticks "${entries[$i]}") - before[i]))
  memory=$(awk '/VmRSS/ {print $2}' "/proc/${entries[$i]}/status")
  echo "idle entry-$((i + 1)): $(awk "BEGIN {print $used / $idle_seconds}") % of a core, $((memory / 1024)) MiB resident"
done

order 'start wave fleet'
began=$(date +%s)
wait_for shows 'show waves where State = Done' fleet
echo "wave over $(order 'show instances' | grep -c Serving) instances took $(($(date +%s) - began)) s"
order 'show waves'
order 'show budgets'
