#!/usr/bin/env bash
# Checks that two builds work together: replaces the entries of an example deployment one after another by those of a second build, and
# back. After each replacement it sends requests, repeated requests, a task and a command to entries of both builds and compares the results.
# The platform and the workers are of the first build. Usage: scripts/upgrade.sh FIRST-BUILD-FOLDER SECOND-BUILD-FOLDER [SETTINGS]
set -euo pipefail
source "$(dirname "$0")/lib.sh"
first=$(realpath "${1:?}") second=$(realpath "${2:?}")
settings=$(realpath "${3:-examples/authority.yaml}")
export ACACIATALLY_TOKEN=replace-this-token
logs=$(mktemp -d)
failures=0
stop() {
  trap - EXIT INT TERM
  stop_all
}
trap stop EXIT
trap 'exit 1' INT TERM
wait_for() {
  poll 300 0.1 "$@" && return
  fail "timed out waiting for: $*"
}
fail() {
  echo "FAIL  $*"
  failures=$((failures + 1))
}
do_at() { # do_at ENTRY STATEMENT: runs one statement on entry-ENTRY with the client of the first build
  "$first/acaciatally" do -address "${operators[$1]}" "$2"
}
shows() { do_at "$1" "$2" | matches -E "$3"; }
repeated() { # repeated ROUND FROM TO ID: repeats a request that entry-FROM has answered at entry-TO, which must return the recorded answer
  local answer
  for _ in $(seq 30); do # the answer is recorded shortly after it was sent; until then, status 409 is correct
    answer=$(call "$3" "/${pools[0]}/strip" -H "Acaciatally-Request-Id: $4" -d 'mirror')
    grep -q '^HTTP/1.1 409' <<<"$answer" || break
    sleep 0.1
  done
  grep -q '^Acaciatally-Answer: Recorded' <<<"$answer" || fail "$1: request of entry-$2 repeated through entry-$3: $(tr '\n' ' ' <<<"$answer")"
}
call() { # call ENTRY PATH [CURL ARGUMENTS]: sends a request and prints the status and headers of the response
  local entry=$1 path=$2
  shift 2
  curl -s -m 20 -D - -o /dev/null -H "Acaciatally-Team: $team" "$@" "http://${callers[$entry]}$path" | tr -d '\r'
}
start_entry() { start "entry-$1" "$2/acaciatally" serve -settings "$settings" -entry "entry-$1"; }
ready() { curl -sf "http://${operators[$1]}/readyz"; }
metric() { # metric ENTRY NAME: prints the sum of a metric over its labels
  curl -s "http://${operators[$1]}/metrics" | awk -v name="$2" 'index($1, name) == 1 {sum += $2} END {print sum + 0}'
}
total() { # total NAME: prints the sum of a metric over all entries
  for i in "${numbers[@]}"; do metric "$i" "$1"; done | awk '{sum += $1} END {print sum}'
}

platform=$(sed -nE 's/^  Address: (.*)/\1/p' "$settings")
team=$(sed -nE '/^Teams:/,/^[A-Z]/ s/.*Name: ([^,]*),.*/\1/p' "$settings" | head -1)
mapfile -t pools < <(sed -nE 's/^  - Name: (.*)/\1/p' "$settings")
declare -A callers operators
numbers=()
while read -r line; do
  number=$(field ID "$line")
  number=${number#entry-}
  numbers+=("$number")
  callers[$number]=$(field CallerAddress "$line")
  operators[$number]=$(field OperatorAddress "$line")
done < <(grep 'PeerAddress:' "$settings")

start platform "$first/standin" platform -listen "$platform" -reboot-time 500ms -list-lag 2s
wait_for curl -sf "http://$platform/admin/counters"
start_workers "$first/standin" "$settings" "$platform"
for i in "${numbers[@]}"; do start_entry "$i" "$first"; done
for i in "${numbers[@]}"; do wait_for ready "$i"; done
echo "${#numbers[@]} entries of the first build are ready"

work=$(printf '{"Uses":{"Processors":1,"Memory":536870912},"Work":300000000}' | base64 -w0)
recorded=()
check() { # check ROUND REPLACED: sends requests, repeated requests, a task and a command and compares the results at all entries
  local round=$1 other=$2 i id
  for i in "${numbers[@]}"; do
    call "$i" "/${pools[$((i % ${#pools[@]}))]}/slots" -H 'Acaciatally-Idempotent: true' | matches '^HTTP/1.1 200' ||
      fail "$round: idempotent request through entry-$i"
  done
  for i in "${numbers[@]}"; do # at the replaced entry first and repeated at another one, then the other way round
    [ "$i" != "$other" ] || continue
    id=$(request_id)
    call "$other" "/${pools[0]}/strip" -H "Acaciatally-Request-Id: $id" -d 'mirror' | matches '^HTTP/1.1 200' || fail "$round: request through entry-$other"
    repeated "$round" "$other" "$i" "$id"
    id=$(request_id)
    call "$i" "/${pools[0]}/strip" -H "Acaciatally-Request-Id: $id" -d 'mirror' | matches '^HTTP/1.1 200' || fail "$round: request through entry-$i"
    repeated "$round" "$i" "$other" "$id"
  done
  recorded+=("$id")
  curl -sf -H "Acaciatally-Team: $team" -H 'Content-Type: application/json' -o /dev/null \
    -d '{"ID":"task-'"$round"'","Pool":"'"${pools[0]}"'","Kind":"upgrade","Processors":1,"Memory":1073741824,"Command":"'"$work"'"}' \
    "http://${callers[$other]}/tasks" || fail "$round: task through entry-$other"
  do_at "$other" "set quota $team $((20 + RANDOM % 8))" >/dev/null || fail "$round: command through entry-$other"
  for i in "${numbers[@]}"; do
    wait_for shows "$i" "show teams where Name = $team" "$(do_at "$other" "show teams where Name = $team" | tail -1 | tr -s ' ' | sed 's/ /[ ]+/g')"
  done
  wait_for shows "$(((other % ${#numbers[@]}) + 1))" "show tasks where ID = task-$round" Done
}
replace() { # replace ROUND BUILD: replaces each entry in turn and runs the checks
  local round=$1 build=$2 i
  for i in "${numbers[@]}"; do
    kill -TERM "${pids[entry-$i]}"
    wait "${pids[entry-$i]}" || fail "$round: entry-$i ended with status $?"
    start_entry "$i" "$build"
    wait_for ready "$i"
    check "$round-$i" "$i"
  done
  local holder=''
  for i in "${numbers[@]}"; do [ "$(metric "$i" acaciatally_control_holder)" = 0 ] || holder="$holder entry-$i"; done
  echo "$round: entries replaced one after another; control is at$holder; grants by slot homes $(total acaciatally_slot_home_grants_total)," \
    "unusable $(total acaciatally_slot_unusable_grants_total), peer messages $(total acaciatally_peer_messages_total)," \
    "rejected $(total acaciatally_peer_rejected_total); $failures failures so far"
}
show_all() { for what in pools instances teams waves options 'audit limit 1000'; do do_at "$1" "show $what"; done; }

check first 1
do_at 1 "start wave before over ${pools[0]}" >/dev/null
wait_for shows 1 'show waves' 'Done'
replace forth "$second"
show_all 2 >"$logs/state"
grep -q before "$logs/state" || fail "the second build does not show the wave of the first"
do_at 2 "start wave between over ${pools[1]}" >/dev/null
sleep 1 # so that the wave is in progress while its controller is replaced
replace back "$first"
wait_for shows 1 'show waves where ID = between' 'Done'
for id in "${recorded[@]}"; do
  repeated end any 1 "$id"
done
echo "log lines of entries at warning or above: $(cat "$logs"/entry-* | grep -ciE '"level":"(warn|error|fatal)"|^(WRN|ERR)' || true)"
echo "$failures failures"
rm -rf "$logs"
[ "$failures" = 0 ]
