#!/bin/sh
# Plays the case beside it; exits with 1 if the rule was broken, 0 if not, 2 if not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 review/more/failing-services/case.py
