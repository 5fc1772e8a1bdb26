#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs only the JDK.
# Usage: review/build.sh  (from anywhere, after the build of deploy/system.toml)
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -Xlint:all,-try -d target/review review/standins/*.java
