"""Starts the deployment of an example folder with stand-ins, publishes its
configuration and sends one query to each of its workloads:
python3 -m runner.deployment FOLDER."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

from . import http
from .system import wait_until

READY_TIMEOUT_S = 15
PUBLISH_TIMEOUT_S = 60
ANSWER_TIMEOUT_S = 40
UPSTREAM_KEYS = ("name", "port", "slots", "cold_slots", "connections")
SERVICE_TIME_US = 3000


class Deployment:
    def __init__(self, folder, build):
        self.build = pathlib.Path(build)
        self.services = {path: json.loads(path.read_text()) for path in sorted(
            folder.glob("services/*/*.papayaglade.json"))}
        self.instances = {path: json.loads(path.read_text()) for path in sorted(
            folder.glob("instances/*.json"))}
        any_instance = next(iter(self.instances.values()))
        self.platform_port = any_instance["platform"]["port"]
        self.work_folder = pathlib.Path(tempfile.mkdtemp(prefix="deployment-"))
        self.processes = []

    def launch(self, log, *command):
        with open(self.work_folder / log, "ab") as out:
            self.processes.append(subprocess.Popen(
                command, stdout=out, stderr=out, stdin=subprocess.DEVNULL))

    def start_standins(self):
        upstreams = [
            {**{key: each[key] for key in UPSTREAM_KEYS}, "seed": number,
             "service_us": SERVICE_TIME_US}
            for service in self.services.values()
            for number, each in enumerate(service["upstreams"])]
        definition = {
            "platform": {
                "ports": [{"caller": "all", "port": self.platform_port}]},
            "upstreams": upstreams}
        path = self.work_folder / "standins.json"
        path.write_text(json.dumps(definition))
        self.launch("standins.log", self.build / "standin", path)

    def responds_ok(self, port, target):
        try:
            return http.call(port, "GET", target)[0] == 200
        except OSError:
            return False

    def put_partition_maps(self):
        for path, service in self.services.items():
            value = (path.parent / "partition-map.json").read_text()
            name = service["service"]
            http.call_json(self.platform_port, "PUT",
                           f"/objects/snapshots/{name}?version=0",
                           json.loads(value))

    def start(self):
        self.start_standins()
        if not wait_until(
                lambda: self.responds_ok(self.platform_port, "/objects/roster"),
                READY_TIMEOUT_S):
            sys.exit("the platform stand-in does not respond; see "
                     + str(self.work_folder))
        self.put_partition_maps()
        for path in self.instances:
            self.launch(f"{path.stem}.log", self.build / "papayaglade",
                        "serve", "--settings", path)

    def publish(self):
        folders = [path.parent for path in self.services]
        subprocess.run(
            [self.build / "papayaglade", "publish", "--platform-address",
             "127.0.0.1", "--platform-port", str(self.platform_port), *folders],
            timeout=PUBLISH_TIMEOUT_S, check=True)
        for each in self.instances.values():
            if not wait_until(
                    lambda: self.responds_ok(each["callers"]["port"], "/ready"),
                    READY_TIMEOUT_S):
                sys.exit(f"{each['name']} is not ready; see {self.work_folder}")

    def query_all_workloads(self):
        """Returns whether every workload answered its query."""
        entries = list(self.instances.values())
        workloads = [each for service in self.services.values()
                     for each in service["workloads"]]
        results = [self.query_workload(workload, entries[number % len(entries)])
                   for number, workload in enumerate(workloads)]
        return all(results)

    def query_workload(self, workload, entry):
        body = {"workload": workload["name"], "query": "flour"}
        if not workload.get("repeatable", True):
            body["request_key"] = f"demo-{workload['name']}"
        status, text = http.call(entry["callers"]["port"], "POST", "/query",
                                 json.dumps(body), ANSWER_TIMEOUT_S)
        answer = json.loads(text)
        account = answer.get("account", {})
        shards = account.get("shards", [])
        outcomes = {}
        for each in shards:
            outcomes[each["outcome"]] = outcomes.get(each["outcome"], 0) + 1
        print(f"{workload['name']:18} at {entry['name']:8} {status} "
              f"{answer['outcome']:10} snapshot {account.get('snapshot')} "
              f"coverage {account.get('coverage')} hits "
              f"{len(answer.get('hits', []))} shards {outcomes} "
              f"{answer.get('error', '')}", flush=True)
        return status == 200

    def stop_gracefully(self):
        """Sends SIGTERM to the instances; returns whether all exited with 0."""
        instances = self.processes[1:]
        for process in instances:
            process.terminate()
        codes = [process.wait(READY_TIMEOUT_S) for process in instances]
        return not any(codes)

    def kill_remaining(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    deployment = Deployment(arguments.folder, arguments.build)
    try:
        deployment.start()
        deployment.publish()
        answered = deployment.query_all_workloads()
        stopped = deployment.stop_gracefully()
    finally:
        deployment.kill_remaining()
    if not answered:
        sys.exit(
            f"not every workload was answered; see {deployment.work_folder}")
    if not stopped:
        sys.exit(
            f"an instance did not exit with 0; see {deployment.work_folder}")


main()
