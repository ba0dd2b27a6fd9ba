#!/usr/bin/env bash
# Starts a fleet of real processes and runs fleet_failures.py on it: freezes, loss of a zone, wiped disks, retirement,
# evacuation, replaced engines and loss of all processes.
set -euo pipefail
source "$(dirname "$0")/fleet_common.sh"
fleet up "$site" --edges 3 --log_level WARN
python3 "$root/tests/fleet_failures.py" "$root" "$folder" "$build" "$site"
