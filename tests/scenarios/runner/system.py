"""Runs the processes of a scenario (stand-ins and instances) and sends them
signals."""

import json
import os
import signal
import subprocess
import threading
import time

from . import http
from .failure import Failure
from .ports import PortBlock

PEER_KEY = "scenario-key-0123456789"
START_TIMEOUT_S = 10
BALANCER_INTERVAL_S = 0.1


def wait_until(condition, timeout_s, interval_s=0.05):
    """Polls `condition` until it is true or the timeout passes; returns its
    last value."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value or time.monotonic() >= end:
            return value
        time.sleep(interval_s)


class System:
    def __init__(self, topology, folder, build):
        self.topology = topology
        self.folder = folder
        self.build = build
        self.port_block = PortBlock()
        self.ports = {}
        self.processes = {}
        self.frozen = set()
        self.ready_instances = set()
        self.closing = threading.Event()
        self.control_ports = {}

    def port(self, purpose):
        if purpose not in self.ports:
            self.ports[purpose] = self.port_block.allocate()
        return self.ports[purpose]

    def launch(self, name, *command, unread=False):
        log = self.pipe_without_reader() if unread else open(
            os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    @staticmethod
    def pipe_without_reader():
        reader, writer = os.pipe()
        os.close(reader)
        return open(writer, "ab")

    def start_standins(self):
        topology = self.topology
        callers = [*topology.instances, "operators"]
        definitions = {"platform": {"platform": {
            "lag_ms": topology.platform_lag_ms,
            "ports": [{"caller": name, "port": self.port(f"platform/{name}")}
                      for name in callers]}}}
        definitions["upstreams"] = {"upstreams": [
            {"name": name, "port": self.port(name), "seed": 1 + number,
             **each["options"]}
            for number, (name, each) in enumerate(topology.upstreams.items())]}
        if topology.relays:
            definitions["relays"] = {"relays": [
                {"name": name, "port": self.port(f"peers/{name}"),
                 "target": self.port(f"listen/{name}")}
                for name in topology.instances]}
        for name, definition in definitions.items():
            self.control_ports[name] = self.port(f"control/{name}")
            definition["control"] = self.control_ports[name]
            path = self.write(f"{name}.json", definition)
            self.launch(name, os.path.join(self.build, "standin"), path)
        for name in definitions:
            if not wait_until(lambda: self.summary(name), START_TIMEOUT_S):
                raise Failure(f"stand-in {name} to start",
                              "no response from its control port")
        threading.Thread(target=self.poll_readiness, daemon=True).start()

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)
        return path

    def start_instance(self, name, unread_log=False):
        if name in self.processes and self.processes[name].poll() is None:
            return
        loopback = {"address": "127.0.0.1"}
        settings = {
            "name": name, "data_centre": self.topology.instances[name],
            "peer_key": PEER_KEY,
            "callers": {**loopback, "port": self.port(f"callers/{name}")},
            "operators": {**loopback, "port": self.port(f"operators/{name}")},
            "peers": {**loopback, "port": self.port(f"peers/{name}")},
            "platform": {**loopback, "port": self.port(f"platform/{name}")}}
        settings["seeds"] = [
            {"name": other, **loopback, "port": self.port(f"peers/{other}")}
            for other, centre in self.topology.instances.items()
            if other != name and centre == settings["data_centre"]]
        if self.topology.relays:
            settings["peers_listen"] = {**loopback,
                                        "port": self.port(f"listen/{name}")}
        if self.topology.settings:
            settings["coordination"] = self.topology.settings
        path = self.write(f"{name}.json", settings)
        self.launch(name, os.path.join(self.build, "papayaglade"), "serve",
                    "--settings", path, unread=unread_log)
        self.report_instances()

    def report_instances(self, leaving=()):
        listed = [
            {"name": name, "incarnation": 0,
             "data_centre": self.topology.instances[name],
             "address": "127.0.0.1", "port": self.port(f"peers/{name}"),
             "state": "leaving" if name in leaving else "live"}
            for name, process in self.processes.items()
            if name in self.topology.instances and process.poll() is None]
        self.send_command("platform", "/platform",
                          {"do": "instances", "instances": listed})

    def send_command(self, standin, target, command):
        http.call_json(self.control_ports[standin], "POST", target, command)

    def summary(self, standin):
        try:
            return http.call_json(self.control_ports[standin], "GET",
                                  "/summary")
        except OSError:
            return None

    def upstream(self, name):
        return self.summary("upstreams")["upstreams"][name]

    def begun(self, name):
        return http.call_json(self.control_ports["upstreams"], "GET",
                              f"/begun/{name}", timeout=10)

    def steward_of(self, upstream):
        centre = self.topology.upstreams[upstream]["centre"]
        rosters = self.summary("platform")["platform"]["objects"]["roster"]
        steward, _ = rosters[centre]["value"]["assignments"][upstream]
        return steward

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        if number == signal.SIGSTOP:
            self.frozen.add(name)
        if number == signal.SIGCONT:
            self.frozen.discard(name)
        if number == signal.SIGKILL:
            self.processes[name].wait()
            self.ready_instances.discard(name)
            self.report_instances()
        if number == signal.SIGTERM:
            self.report_instances(leaving=[name])

    def poll_readiness(self):
        """Polls the readiness of the instances, as a load balancer does."""
        while not self.closing.wait(BALANCER_INTERVAL_S):
            for name in list(self.topology.instances):
                if self.is_ready(name):
                    self.ready_instances.add(name)
                else:
                    self.ready_instances.discard(name)

    def is_ready(self, name):
        return self.readiness(name) == "ready"

    def readiness(self, name):
        """Returns the response of /ready, or why it could not be read."""
        process = self.processes.get(name)
        alive = process is not None and process.poll() is None
        if not alive or name in self.frozen:
            return "not running"
        try:
            port = self.port(f"callers/{name}")
            return http.call(port, "GET", "/ready", timeout=0.5)[1].strip()
        except OSError as failed:
            return str(failed)

    def close(self):
        self.closing.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.port_block.release()
