"""Measures the latency and cost of queries; see measure_queries.sh."""
import argparse
import json
import os
import pathlib
import subprocess
import time
import urllib.error
import urllib.request

CENTRES = ("kigali", "huye")
STANDIN_PROCESSES = 4
# Long enough to tell stragglers from the noise of a shared machine.
SERVICE_US = 10000
WARM_UP_SECONDS = 6
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Tier:
    """Runs stand-ins and instances as separate processes."""

    def __init__(self, options, folder, shards, upstreams, straggler_one_in):
        self.options = options
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes = []
        self.instances = []
        self.base = options.port
        self.shards = shards
        self.upstreams = self.define_upstreams(upstreams)
        self.start_standins(straggler_one_in)
        self.publish()
        self.start_instances()

    def define_upstreams(self, count):
        return [
            {"name": f"{centre}-{i}", "data_centre": centre, "address": "127.0.0.1",
             "port": self.base + 500 + centre_number * 200 + i, "slots": 4,
             "cold_slots": 2, "connections": 30}
            for centre_number, centre in enumerate(CENTRES) for i in range(count)]

    def spawn(self, *command):
        log = open(self.folder / f"log-{len(self.processes)}.txt", "w")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_standins(self, straggler_one_in):
        binary = f"{self.options.build}/standin"
        self.spawn(binary, "platform", str(self.base))
        for part in range(STANDIN_PROCESSES):
            upstreams = [
                {"name": each["name"], "port": each["port"], "slots": 8, "cold_slots": 8,
                 "connections": 64, "service_us": SERVICE_US, "jitter_us": SERVICE_US // 4, "logs": False,
                 "straggler_one_in": straggler_one_in, "straggler_times": 20, "seed": i + 1}
                for i, each in enumerate(self.upstreams) if i % STANDIN_PROCESSES == part]
            path = self.folder / f"standin-{part}.json"
            path.write_text(json.dumps({"upstreams": upstreams}))
            self.spawn(binary, str(path))

    def publish(self):
        self.map_file = self.folder / "snapshots.json"
        count = len(self.upstreams) // 2
        shards = [{"shard": f"shard-{i}", "replicas": [f"{c}-{i % count}" for c in CENTRES]}
                  for i in range(self.shards)]
        self.map_file.write_text(json.dumps({"snapshots": [{"snapshot": 1, "shards": shards}]}))
        coverage = {"minimum": 0.5}
        common = {"class": "full", "deadline_ms": 2000, "coverage": coverage}
        self.service_file = self.folder / "answers.papayaglade.json"
        self.service_file.write_text(json.dumps({
            "service": "answers", "upstreams": self.upstreams,
            "workloads": [{"name": "plain", "hedging": False, **common},
                          {"name": "hedged", "hedge_percentile": 0.98, **common}]}))
        url = f"http://127.0.0.1:{self.base}/objects/snapshots/answers?version=0"
        wait_for(lambda: call(url, self.map_file.read_bytes(), "PUT"))
        subprocess.run([f"{self.options.build}/papayaglade", "publish", "--platform-address",
                        "127.0.0.1", "--platform-port", str(self.base), str(self.folder)],
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)

    def start_instances(self):
        for number in range(4):
            settings = {
                "name": f"entry-{number}", "data_centre": CENTRES[number // 2],
                "peer_key": "measure-key-0123456789",
                "callers": self.endpoint(200 + number), "operators": self.endpoint(300 + number),
                "peers": self.endpoint(400 + number), "platform": self.endpoint(0)}
            path = self.folder / f"entry-{number}.settings"
            path.write_text(json.dumps(settings))
            self.instances.append(self.spawn(
                f"{self.options.build}/papayaglade", "serve", "--settings", str(path)))
        for number in range(4):
            wait_for(lambda n=number: self.covers_all(n))

    def endpoint(self, offset):
        return {"address": "127.0.0.1", "port": self.base + offset}

    def covers_all(self, number):
        body = json.dumps({"workload": "plain", "query": "warm"}).encode()
        answer = call(f"http://127.0.0.1:{self.base + 200 + number}/query", body, "POST")
        return answer is not None and answer["account"]["coverage"] == 1.0

    def processor_seconds(self):
        return sum(processor_seconds(each.pid) for each in self.instances)

    def bench(self, name, rate, *arguments):
        report = self.folder / f"{name}.json"
        before, started = self.processor_seconds(), time.monotonic()
        subprocess.run([f"{self.options.build}/papayaglade", "bench", "--rate", str(rate),
                        "--seconds", str(self.options.seconds), "--warm-up-seconds", str(WARM_UP_SECONDS),
                        "--name", name, "--report", str(report),
                        "--plot", str(self.folder / f"{name}.svg"), *arguments],
                       stdout=subprocess.DEVNULL, check=True)
        result = json.loads(report.read_text())
        result["processor_s"] = self.processor_seconds() - before
        result["wall_s"] = time.monotonic() - started
        return result

    def entries(self):
        return [argument for number in range(4)
                for argument in ("--entry", f"127.0.0.1:{self.base + 200 + number}")]

    def stop(self):
        for process in reversed(self.processes):
            process.terminate()
        for process in self.processes:
            process.wait(timeout=40)


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def call(url, body, method):
    request = urllib.request.Request(url, data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=3) as reply:
            return json.load(reply)
    except (urllib.error.URLError, OSError, ValueError):
        return None


def wait_for(condition, seconds=30):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise SystemExit("the tier did not become ready; see its logs")
        time.sleep(0.1)


def format_row(name, result, idle_rate, scale):
    requests = max(1, result["shard_requests"] * scale)
    net = max(0.0, result["processor_s"] - idle_rate * result["wall_s"])
    return (f"| {name} | {result['queries']} | {result['p50_us'] / 1000:.1f} | "
            f"{result['p99_us'] / 1000:.1f} | {result['coverage_mean']:.4f} | "
            f"{result['extra_load'] * 100:.2f} % | {net / requests * 1e6:.1f} |")


TABLE_HEADER = ("| run | queries | p50 ms | p99 ms | coverage | extra load | "
        "tier us a shard request |\n|---|---|---|---|---|---|---|")


def measure(options, shards, upstreams, rate, straggler_one_in, runs):
    folder = pathlib.Path(options.out) / f"{shards}-shards-1-in-{straggler_one_in}"
    tier = Tier(options, folder, shards, upstreams, straggler_one_in)
    try:
        before = tier.processor_seconds()
        time.sleep(3)
        idle_rate = (tier.processor_seconds() - before) / 3
        # The processor time includes the queries of the warm-up.
        scale = (options.seconds + WARM_UP_SECONDS) / options.seconds
        print(f"\n{shards} shards, {rate} queries a second, stragglers 1 in "
              f"{straggler_one_in or 'none'}; idle {idle_rate * 1000:.1f} ms/s in 4 instances\n")
        print(TABLE_HEADER)
        for name in runs:
            if name == "direct":
                arguments = ["--direct", str(tier.service_file), "--partition-map",
                             str(tier.map_file)]
            else:
                arguments = ["--workload", name, *tier.entries()]
            if name == "hedged":
                arguments += ["--compare", str(folder / "plain.json")]
            print(format_row(name, tier.bench(name, rate, *arguments), idle_rate, scale), flush=True)
    finally:
        tier.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--port", type=int, default=21000)
    parser.add_argument("--out", default="build/measure")
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--stragglers-only", action="store_true")
    parser.add_argument("--shards", type=int, default=0, help="only this size: 40 or 360")
    options = parser.parse_args()
    for shards, upstreams, rate in ((40, 40, 40), (360, 90, 8)):
        if options.shards not in (0, shards):
            continue
        if not options.stragglers_only:
            measure(options, shards, upstreams, rate, 0, ("direct", "plain"))
        measure(options, shards, upstreams, rate, 100, ("plain", "hedged"))


main()
