# Functions for scripts that run with pipefail.

# matches reads its input to the end and succeeds if a line matches; its arguments are those of grep. A quiet grep in a pipe would stop reading at
# the first match, and the command before it could fail for that.
matches() { grep -q "$@" <<<"$(cat)"; }
