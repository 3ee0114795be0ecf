#!/usr/bin/env bash
# Starts a tier with stand-ins, publishes a configuration, sends queries and stops: demo.sh [small|rwanda|denmark].
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
build=${BUILD_DIR:-build}
case ${1:-small} in
  small) ;;
  rwanda | denmark)
    export PYTHONPATH=$PWD/tests/scenarios PYTHONDONTWRITEBYTECODE=1
    exec python3 -m runner.deployment --build "$build" "examples/$1"
    ;;
  *)
    echo "unknown deployment $1; use small, rwanda or denmark" >&2
    exit 2
    ;;
esac
folder=$(mktemp -d)
started=()
stop_all() {
  for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT
base=${DEMO_PORT:-21000}
"$build/standin" platform "$base" & started+=($!)
"$build/standin" upstreams $((base + 100)) kigali-1 kigali-2 huye-1 huye-2 & started+=($!)
cat > "$folder/shop-answers.papayaglade.json" <<EOF
{"service": "shop-answers",
 "upstreams": [
  {"name": "kigali-1", "data_centre": "kigali", "address": "127.0.0.1", "port": $((base + 100)), "slots": 3, "connections": 30},
  {"name": "kigali-2", "data_centre": "kigali", "address": "127.0.0.1", "port": $((base + 101)), "slots": 3, "connections": 30},
  {"name": "huye-1", "data_centre": "huye", "address": "127.0.0.1", "port": $((base + 102)), "slots": 3, "connections": 30},
  {"name": "huye-2", "data_centre": "huye", "address": "127.0.0.1", "port": $((base + 103)), "slots": 3, "connections": 30}],
 "workloads": [{"name": "counter-lookup", "class": "counter", "deadline_ms": 500}]}
EOF
for number in 0 1 2 3; do
  centre=$([ "$number" -lt 2 ] && echo kigali || echo huye)
  cat > "$folder/entry-$number.json" <<EOF
{"name": "entry-$number", "data_centre": "$centre", "peer_key": "demo-key-0123456789",
 "callers": {"address": "127.0.0.1", "port": $((base + 200 + number))},
 "operators": {"address": "127.0.0.1", "port": $((base + 300 + number))},
 "peers": {"address": "127.0.0.1", "port": $((base + 400 + number))},
 "platform": {"address": "127.0.0.1", "port": $base}}
EOF
  "$build/papayaglade" serve --settings "$folder/entry-$number.json" & started+=($!)
done
curl -sf --retry 20 --retry-connrefused --retry-delay 1 -X PUT "http://127.0.0.1:$base/objects/snapshots/shop-answers?version=0" -d '{"snapshots":[{"snapshot":1,"shards":[
 {"shard":"a","replicas":["kigali-1","huye-1"]},{"shard":"b","replicas":["huye-2","kigali-2"]}]}]}'
echo
"$build/papayaglade" publish --platform-address 127.0.0.1 --platform-port "$base" "$folder"
answer='{}'
for _ in $(seq 50); do
  answer=$(curl -s "http://127.0.0.1:$((base + 200))/query" -d '{"workload":"counter-lookup","query":"price of flour"}' || echo '{}')
  echo "$answer" | grep -q '"coverage":1.0' && break
  sleep 0.2
done
echo "$answer" | python3 -m json.tool
echo "$answer" | grep -q '"coverage":1.0'
