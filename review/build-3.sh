#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standins-3 ./review/standins-3
