#!/bin/sh
# Plays the case beside it; exits with 1 if the rule was broken, 0 if not, 2 if not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/4/case.py
