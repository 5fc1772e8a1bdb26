#!/usr/bin/env bash
# Builds the stand-ins and the cases 6 to 10 into target/review-2. Usage: review/build-2.sh
set -eu
shopt -s nullglob
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins2/*.java review/{6,7,8,9,10}/*.java
