#!/usr/bin/env python3
"""Measures how long upstreams have no steward that may send cold work.

Usage: scripts/measure_takeover.py [--instances N] [--rounds N] [--port PORT]
Starts the platform stand-in and N instances of one data centre, and for each
way of losing an instance prints the seconds from the event until another
instance may send cold work to each of its upstreams, and the platform writes.
"""
import argparse
import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.request

BUILD = os.environ.get("BUILD_DIR", "build")
POLL_INTERVAL_SECONDS = 0.02
SETTLE_TIMEOUT_SECONDS = 25
TAKEOVER_TIMEOUT_SECONDS = 15
UPSTREAMS = 12


def fetch(port, path, body=None, method=None):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=body, method=method)
    with urllib.request.urlopen(request, timeout=0.5) as answer:
        return json.load(answer)


class Tier:
    def __init__(self, folder, instances, base):
        self.folder, self.base, self.count = folder, base, instances
        self.processes = {}
        self.standins = [
            subprocess.Popen([f"{BUILD}/standin", "platform", str(base)]),
            subprocess.Popen([f"{BUILD}/standin", "upstreams", str(base + 100)]
                             + [f"u{i}" for i in range(UPSTREAMS)]),
        ]
        time.sleep(0.5)
        upstreams = [{"name": f"u{i}", "data_centre": "kigali",
                      "address": "127.0.0.1", "port": base + 100 + i,
                      "slots": 3, "connections": 30} for i in range(UPSTREAMS)]
        service = {"service": "shop-answers", "upstreams": upstreams,
                   "workloads": [{"name": "lookup", "deadline_ms": 500}]}
        path = f"{folder}/shop-answers.papayaglade.json"
        with open(path, "w") as out:
            json.dump(service, out)
        for i in range(instances):
            self.start(i)
        subprocess.run([f"{BUILD}/papayaglade", "publish",
                        "--platform-address", "127.0.0.1", "--platform-port",
                        str(base), folder], stdout=subprocess.DEVNULL)

    def start(self, i):
        def endpoint(port):
            return {"address": "127.0.0.1", "port": self.base + port + i}
        settings = {"name": f"entry-{i}", "data_centre": "kigali",
                    "peer_key": "measure-key-0123456789",
                    "callers": endpoint(200), "operators": endpoint(300),
                    "peers": endpoint(400),
                    "platform": {"address": "127.0.0.1", "port": self.base}}
        path = f"{self.folder}/entry-{i}.settings"
        with open(path, "w") as out:
            json.dump(settings, out)
        self.processes[i] = subprocess.Popen(
            [f"{BUILD}/papayaglade", "serve", "--settings", path],
            stderr=subprocess.DEVNULL)

    def upstreams_by_steward(self, without=None):
        """Returns, for each instance, the upstreams to which it may send cold
        work as their steward."""
        found = {}
        for i in self.processes:
            if i == without:
                continue
            try:
                status = fetch(self.base + 300 + i, "/status")["control"]
            except (OSError, KeyError, ValueError):
                continue
            own = status["stewardship"]
            if own["proven"]:
                found[i] = set(own["steward_of"]) - set(own["fenced"])
        return found

    def wait_until_settled(self):
        end = time.time() + SETTLE_TIMEOUT_SECONDS
        while time.time() < end:
            found = self.upstreams_by_steward()
            if (len(found) == self.count and all(found.values())
                    and sum(map(len, found.values())) == UPSTREAMS):
                return found
            time.sleep(0.2)
        raise SystemExit(f"the tier did not settle: {self.upstreams_by_steward()}")

    def roster_version(self):
        objects = fetch(self.base, "/objects/roster")["objects"]
        return objects[0]["version"]

    def measure_loss(self, loss_kind, victim):
        process = self.processes[victim]
        lost = self.wait_until_settled()[victim]
        before = self.roster_version()
        start = time.time()
        process.send_signal({"kill": signal.SIGKILL, "freeze": signal.SIGSTOP,
                             "leave": signal.SIGTERM}[loss_kind])
        took = None
        while time.time() < start + TAKEOVER_TIMEOUT_SECONDS:
            covered = set().union(*self.upstreams_by_steward(without=victim).values())
            if lost <= covered:
                took = time.time() - start
                break
            time.sleep(POLL_INTERVAL_SECONDS)
        written = self.roster_version() - before
        if loss_kind == "freeze":
            process.send_signal(signal.SIGCONT)
        else:
            process.wait(40)
            self.start(victim)
        return took, written

    def stop(self):
        for process in [*self.processes.values(), *self.standins]:
            process.kill()
            process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--port", type=int, default=23000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        running = Tier(folder, options.instances, options.port)
        try:
            for loss_kind in ("kill", "freeze", "leave"):
                results = [running.measure_loss(loss_kind, i % options.instances)
                           for i in range(options.rounds)]
                times = ["none" if took is None else f"{took:.2f}"
                         for took, _ in results]
                roster_writes = [written for _, written in results]
                print(f"{loss_kind}: seconds {' '.join(times)}; roster writes "
                      f"{roster_writes}", flush=True)
        finally:
            running.stop()


if __name__ == "__main__":
    main()
