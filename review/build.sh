#!/bin/sh
# Compiles the stand-ins and cases; they are Python and need no other build.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q .
