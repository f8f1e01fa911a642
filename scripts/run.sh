#!/usr/bin/env bash
# Runs the stand-in platform, three entries and four workers on loopback, sends requests and a command, and stops them.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -rf "$logs"
}
trap stop EXIT INT TERM
start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  pids+=($!)
}
until_ok() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  cat "$logs"/* >&2
  return 1
}

start platform bin/standin platform -listen 127.0.0.1:17000
for i in 1 2; do
  start "coating-$i" bin/standin worker -id "coating-$i" -listen "127.0.0.1:1740$i"
  start "backoffice-$i" bin/standin worker -id "backoffice-$i" -listen "127.0.0.1:1740$((i + 2))"
done
for i in 1 2 3; do
  start "entry-$i" bin/acaciatally serve -settings examples/run.yaml -entry "entry-$i"
done
for i in 1 2 3; do until_ok curl -sf "http://127.0.0.1:1720$i/livez"; done

echo "load the deployment:"
curl -sf -X POST http://127.0.0.1:17201/load
until_ok curl -sf http://127.0.0.1:17102/coating/slots
echo "request through entry-2:"
curl -si -H 'Acaciatally-Idempotent: true' -d 'mirror 7' http://127.0.0.1:17102/coating/strip | tr -d '\r'
echo
echo "request to an unknown service:"
curl -si http://127.0.0.1:17103/nothing/here | tr -d '\r'
echo "move backoffice-1 to coating through entry-1:"
curl -sf -H 'Content-Type: application/json' -d '{"Instance":"backoffice-1","To":"coating"}' http://127.0.0.1:17201/move
echo "read back through entry-3:"
until_ok bash -c "curl -sf http://127.0.0.1:17203/state | grep -q '\"ID\":\"backoffice-1\",\"Pool\":\"coating\"'"
curl -sf http://127.0.0.1:17203/state | grep -o '"ID":"backoffice-1","Pool":"[a-z]*"'
if [ -n "${KEEP:-}" ]; then
  echo "left up; callers: 127.0.0.1:17101-17103, operators: 127.0.0.1:17201-17203; interrupt to stop"
  wait
fi
