#!/usr/bin/env bash
# Plays the case stuck-cursor; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/harness -case stuck-cursor -record review/1/record.txt
