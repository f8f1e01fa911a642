#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into the one program review/harness.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/harness ./review
