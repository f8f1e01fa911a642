# Functions for scripts that run with pipefail and start processes. A script that starts some sets logs, the folder of their output.
declare -A pids # process IDs by name

# matches reads its input to the end and succeeds if a line matches; its arguments are those of grep. A quiet grep in a pipe would stop reading at
# the first match, and the command before it could fail for that.
matches() { grep -q "$@" <<<"$(cat)"; }

# start NAME COMMAND...: starts a process in the background; its output is added to the file NAME in the folder of the logs.
start() {
  local name=$1
  shift
  "$@" >>"$logs/$name" 2>&1 &
  pids[$name]=$!
}

# stop_all stops all processes that were started and waits for them.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# field KEY LINE: prints the value of a key in a YAML flow mapping.
field() { sed -E "s/.*[{ ]$1: \"?([^,\"}]*).*/\1/" <<<"$2"; }

# clean_up_at_exit STATUS: when the script ends, stops all processes that were started and removes the folder of their output. SIGINT and
# SIGTERM end the script with the status.
clean_up_at_exit() {
  trap clean_up EXIT
  trap "exit $1" INT TERM
}

clean_up() {
  trap - EXIT INT TERM
  stop_all
  rm -rf "$logs"
}

# poll ATTEMPTS PAUSE COMMAND...: runs a command until it succeeds, with a pause in seconds after each failure; fails after the last attempt.
poll() {
  local attempts=$1 pause=$2
  shift 2
  for _ in $(seq "$attempts"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep "$pause"
  done
  return 1
}

# start_workers STANDIN SETTINGS PLATFORM: starts a simulated worker for each instance of a settings file.
start_workers() {
  local line
  while read -r line; do
    start "$(field ID "$line")" "$1" worker -id "$(field ID "$line")" -listen "$(field Address "$line")" -platform "$3" \
      -data-centre "$(field DataCentre "$line")" -rack "$(field Rack "$line")" -leave-time 100ms
  done < <(grep 'Slots:' "$2")
}

# request_id prints a ULID: ten characters for the time in milliseconds, then sixteen random characters.
request_id() {
  local alphabet=0123456789ABCDEFGHJKMNPQRSTVWXYZ id='' time
  time=$(date +%s%3N)
  for _ in $(seq 10); do
    id=${alphabet:$((time % 32)):1}$id
    time=$((time / 32))
  done
  for _ in $(seq 16); do id=$id${alphabet:$((RANDOM % 32)):1}; done
  echo "$id"
}
