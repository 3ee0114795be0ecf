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
POLL_SECONDS = 0.02
SETTLE_SECONDS = 25
LOSS_SECONDS = 15
UPSTREAMS = 12


def fetch(port, path, body=None, method=None):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=body, method=method)
    with urllib.request.urlopen(request, timeout=0.5) as answer:
        return json.load(answer)


class tier:
    def __init__(self, folder, instances, base):
        self.folder, self.base, self.count = folder, base, instances
        self.processes = {}
        self.others = [
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
        def place(port):
            return {"address": "127.0.0.1", "port": self.base + port + i}
        settings = {"name": f"entry-{i}", "data_centre": "kigali",
                    "peer_key": "measure-key-0123456789",
                    "callers": place(200), "operators": place(300),
                    "peers": place(400),
                    "platform": {"address": "127.0.0.1", "port": self.base}}
        path = f"{self.folder}/entry-{i}.settings"
        with open(path, "w") as out:
            json.dump(settings, out)
        self.processes[i] = subprocess.Popen(
            [f"{BUILD}/papayaglade", "serve", "--settings", path],
            stderr=subprocess.DEVNULL)

    def free(self, without=None):
        """Upstreams with a steward that may send cold work, by steward."""
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

    def settle(self):
        end = time.time() + SETTLE_SECONDS
        while time.time() < end:
            found = self.free()
            if (len(found) == self.count and all(found.values())
                    and sum(map(len, found.values())) == UPSTREAMS):
                return found
            time.sleep(0.2)
        raise SystemExit(f"the tier did not settle: {self.free()}")

    def writes(self):
        objects = fetch(self.base, "/objects/roster")["objects"]
        return objects[0]["version"]

    def lose(self, way, victim):
        process = self.processes[victim]
        lost = self.settle()[victim]
        before = self.writes()
        start = time.time()
        process.send_signal({"kill": signal.SIGKILL, "freeze": signal.SIGSTOP,
                             "leave": signal.SIGTERM}[way])
        took = None
        while time.time() < start + LOSS_SECONDS:
            covered = set().union(*self.free(without=victim).values())
            if lost <= covered:
                took = time.time() - start
                break
            time.sleep(POLL_SECONDS)
        written = self.writes() - before
        if way == "freeze":
            process.send_signal(signal.SIGCONT)
        else:
            process.wait(40)
            self.start(victim)
        return took, written

    def stop(self):
        for process in [*self.processes.values(), *self.others]:
            process.kill()
            process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--port", type=int, default=23000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        running = tier(folder, options.instances, options.port)
        try:
            for way in ("kill", "freeze", "leave"):
                results = [running.lose(way, i % options.instances)
                           for i in range(options.rounds)]
                times = ["none" if took is None else f"{took:.2f}"
                         for took, _ in results]
                writes = [written for _, written in results]
                print(f"{way}: seconds {' '.join(times)}; roster writes "
                      f"{writes}", flush=True)
        finally:
            running.stop()


if __name__ == "__main__":
    main()
