#!/usr/bin/env bash
# The same cause as run.sh, as clients see it: answers with the status of another one.
# Usage: review/1/clients.sh  (after the build of deploy/system.toml and review/build.sh)
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/LeftoverBytes.class ] && [ -f target/arbutusroad.jar ] || exit 2
exec java -cp target/review LeftoverBytes review/1/clients-record.txt
