#!/usr/bin/env bash
# A server sends the start of a second copy after some refusals of orders.
# Usage: review/1/run.sh  (after the build of deploy/system.toml and review/build.sh)
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/DoubleOrder.class ] && [ -f target/arbutusroad.jar ] || exit 2
exec java -cp target/review DoubleOrder review/1/record.txt
