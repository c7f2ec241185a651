#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
export PYTHONPATH="$root/review:$root/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
