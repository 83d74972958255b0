#!/bin/bash
# Compiles the stand-ins and the cases into target/review. Needs JDK 17 only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standin/*.java review/[0-9]/*.java
