#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
exec python3 "$(dirname "$0")/case.py"
