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
