#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the project's programs:
# their stand-ins are plain Python with the standard library only, so they are compiled
# to show that they can be read.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
for folder in standin_2 6 7 8 9 10; do
    [ ! -d "review/$folder" ] || python3 -m compileall -q "review/$folder"
done
