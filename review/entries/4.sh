#!/usr/bin/env bash
# Entry 4 of KNOWN-RED.txt: clients that send "Connection: close" and leave (rule GONE).
# Usage: review/entries/4.sh  (after the build of deploy/system.toml and review/build.sh)
# Exits with 1 if the rule was broken, 0 if it held, 2 if the script could not run.
# TROUBLE=0 plays the same with clients that wait.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/ClosingCaller.class ] && [ -f target/arbutusroad.jar ] || exit 2
exec java -cp target/review ClosingCaller review/entries/4-record.txt
