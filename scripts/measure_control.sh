#!/usr/bin/env bash
# Runs seven idle instances in two data centres for 30 s and prints the cost of the control plane for each of
# them; then changes the configuration three times and prints how long each version takes to be in force everywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
build=${BUILD_DIR:-build}
folder=$(mktemp -d)
started=()
stop_all() {
  for process in "${started[@]}"; do kill -9 "$process" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT
base=${DEMO_PORT:-21000}
"$build/standin" platform "$base" > "$folder/platform.log" 2>&1 & started+=($!)
cat > "$folder/shop-answers.papayaglade.json" <<EOT
{"service": "shop-answers",
 "upstreams": [{"name": "kigali-1", "data_centre": "kigali", "address": "127.0.0.1", "port": $((base + 100)), "slots": 3, "connections": 30}],
 "workloads": [{"name": "counter-lookup", "class": "counter", "deadline_ms": 500}]}
EOT
for number in 0 1 2 3 4 5 6; do
  centre=$([ "$number" -lt 5 ] && echo kigali || echo huye)
  cat > "$folder/entry-$number.json" <<EOT
{"name": "entry-$number", "data_centre": "$centre", "peer_key": "measure-key-0123456789",
 "callers": {"address": "127.0.0.1", "port": $((base + 200 + number))},
 "operators": {"address": "127.0.0.1", "port": $((base + 300 + number))},
 "peers": {"address": "127.0.0.1", "port": $((base + 400 + number))},
 "platform": {"address": "127.0.0.1", "port": $base}}
EOT
  "$build/papayaglade" serve --settings "$folder/entry-$number.json" 2> "$folder/entry-$number.log" &
  started+=($!)
done
sleep 2
"$build/papayaglade" publish --platform-address 127.0.0.1 --platform-port "$base" "$folder"
sleep 5
python3 - "$base" "${started[@]:1}" <<'EOT'
import json, os, sys, time, urllib.request
base, processes = int(sys.argv[1]), sys.argv[2:]
SECONDS, HEADER_BYTES = 30, 60
CONTROL_THREADS = {"control", "peers", "platform"}

def fetch(port, path):
    return urllib.request.urlopen(f"http://127.0.0.1:{port}{path}").read().decode()

def metric(text, name):
    return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name))

def processor_time(process):
    total = 0
    for thread in os.listdir(f"/proc/{process}/task"):
        name, rest = open(f"/proc/{process}/task/{thread}/stat").read().split("(", 1)[1].rsplit(")", 1)
        if name in CONTROL_THREADS:
            fields = rest.split()
            total += int(fields[11]) + int(fields[12])
    return total / os.sysconf("SC_CLK_TCK")

def sample(number):
    status = json.loads(fetch(base + 300 + number, "/status"))["control"]
    text = fetch(base + 300 + number, "/metrics")
    sent = metric(text, "papayaglade_control_messages_sent")
    return (status["watches_platform"], status["platform"]["calls"], sent,
            metric(text, "papayaglade_control_bytes") + 2 * HEADER_BYTES * sent,
            processor_time(processes[number]))

before = [sample(number) for number in range(7)]
time.sleep(SECONDS)
for number in range(7):
    old, new = before[number], sample(number)
    rate = [(new[i] - old[i]) / SECONDS for i in range(1, 5)]
    role = "watcher" if new[0] else "other"
    print(f"entry-{number} {role}: platform calls/s {rate[0]:.2f}, messages/s sent {rate[1]:.1f}, "
          f"bytes/s sent and received {rate[2]:.0f}, core {100 * rate[3]:.2f} %")
for _ in range(3):
    target = f"http://127.0.0.1:{base}/objects/configuration/current"
    stored = json.loads(urllib.request.urlopen(target).read())
    version = stored["version"] + 1
    value = dict(stored["value"], version=version, publication_id=f"measure-{version}")
    request = urllib.request.Request(f"{target}?version={version - 1}", json.dumps(value).encode(), method="PUT")
    urllib.request.urlopen(request).read()
    start, left = time.time(), set(range(7))
    while left and time.time() - start < 10:
        left = {n for n in left if version not in json.loads(fetch(base + 300 + n, "/configuration")).values()}
    print(f"version {version} in force at {7 - len(left)} of 7 after {time.time() - start:.3f} s")
EOT
