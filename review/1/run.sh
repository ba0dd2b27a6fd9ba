#!/bin/sh
# Writes what was sent, answered and run to record.txt beside it; TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
