#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review into target/review-2. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
javac -Xlint:-options -encoding UTF-8 -d target/review-2 review/standin-2/*.java review/*/src/*.java
