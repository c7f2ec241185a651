#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out; deployment.play reads it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec python3 -m review.12.play
