#!/usr/bin/env bash
# A short run of a fleet of real processes: bad input, operator commands, and traffic while one process of each kind is
# killed and started again.
set -euo pipefail
source "$(dirname "$0")/fleet_common.sh"

fleet up "$site" --edges 3 --log_level WARN
eval "$(fleet env)"
"$build/load_generator" --proxies "$PROXIES" --shape "$site" --seconds 4 --requests_per_second 10 > "$folder/steady.json"

python3 "$root/tests/bad_input.py" "$folder" "$build"
herontallyctl() { "$build/herontallyctl" --core "$CORE" --token "$TOKEN" "$@"; }
zone=$(fleet status | awk '$1 == "core-2" { print $3 }')
echo '{"shared": {"limits": {"queue_seconds": 4}}}' > "$folder/patch.json"
herontallyctl patch "$folder/patch.json" > "$folder/patched"
herontallyctl get | grep -q '"queue_seconds": 4'
if herontallyctl patch "$folder/patch.json" --expect 1 2> "$folder/stale"; then exit 1; else test $? = 4; fi
herontallyctl evacuate "$zone" > /dev/null
herontallyctl get | grep -q "$zone"
herontallyctl return "$zone" > /dev/null

"$build/load_generator" --proxies "$PROXIES" --shape "$site" --seconds 12 --requests_per_second 10 > "$folder/failures.json" &
load=$!
for node in core-1 store-2 agent-3 proxy-2; do
  fleet kill "$node"
done
engine=$(fleet status | awk '$2 == "engine_stand_in" { print $1; exit }' || true)
fleet kill "$engine"
for node in core-1 store-2 agent-3 proxy-2 "$engine"; do
  fleet start "$node"
done
wait $load

# Every stream that was received must be complete and in order.
python3 - "$folder" <<'P'
import json, sys
steady = json.load(open(sys.argv[1] + "/steady.json"))
failures = json.load(open(sys.argv[1] + "/failures.json"))
assert steady["oddities"] == {} and failures["oddities"] == {}, (steady["oddities"], failures["oddities"])
# On an overloaded machine a proxy may stall briefly and its clients retry; most requests must be served nevertheless.
assert steady["turns_complete"] >= 0.8 * steady["turns"] > 0, steady
assert steady["calls_done"] >= 0.8 * steady["calls"] > 0, steady
assert failures["turns_complete"] > 0 and failures["calls_done"] > 0, failures
print("steady: %d turns; under failures: %d of %d turns complete, refusals %s, unanswered %d" % (
    steady["turns"], failures["turns_complete"], failures["turns"], failures["refusals"], failures["unanswered"]))
P
for tries in $(seq 1 100); do
  if fleet status > "$folder/status"; then break; fi
  if [ "$tries" = 100 ]; then fleet status; exit 1; fi
done
"$build/config_trace" --seeds "$SEEDS"
fleet stop "$engine"
echo "fleet of $site: recovered"
