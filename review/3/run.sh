#!/usr/bin/env bash
# A server in trouble follows some refusals with a body that never ends.
# Usage: review/3/run.sh  (after the build of deploy/system.toml and review/build.sh)
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/EndlessBytes.class ] && [ -f target/arbutusroad.jar ] || exit 2
exec java -cp target/review EndlessBytes review/3/record.txt
