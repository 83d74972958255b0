#!/bin/bash
# Plays the case and writes record.txt beside this script. Exit code: 1 broken, 0 held, 2 could not be run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/oxbowlug.jar ] && [ -d target/review ] || { echo "build first: deploy file, review/build.sh"; exit 2; }
exec java -Xmx512m -cp target/review Case3 "$here"
