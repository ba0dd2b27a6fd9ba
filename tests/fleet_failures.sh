#!/usr/bin/env bash
# Real processes through freezes, a lost zone, wiped disks, retirement, evacuation, replaced engines and total loss.
set -euo pipefail
source "$(dirname "$0")/fleet_common.sh"
fleet up "$site" --edges 3 --log_level WARN
python3 "$root/tests/fleet_failures.py" "$root" "$folder" "$build" "$site"
