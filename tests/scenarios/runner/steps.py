"""The commands of the scenario language.

Each command is a method of Steps with the name of the command."""

import json
import os
import signal
import subprocess
import tempfile
import threading
import time

from . import http
from .chaos import Chaos
from .failure import Failure

COMMAND_TIMEOUT_S = 60
# 0: in force; 4: another operator's change came first; 5: accepted, but not
# yet in force everywhere.
RACE_EXIT_CODES = {0, 4, 5}


class Steps:
    def __init__(self, topology, system, callers):
        self.topology = topology
        self.system = system
        self.callers = callers
        self.command_times = {}  # target -> time of the last command on it
        self.exit_codes = {}  # command label -> exit code

    def target(self, words):
        """Removes the first target from `words` and returns its name.

        A target is a name or `steward-of UPSTREAM`."""
        word = words.pop(0)
        if word == "steward-of":
            upstream = words.pop(0)
            self.command_times[upstream] = time.monotonic()
            return self.system.steward_of(upstream)
        return word

    def targets(self, words):
        words = list(words)
        while words:
            name = self.target(words)
            self.command_times[name] = time.monotonic()
            yield name

    # Processes

    def start(self, words, options):
        if not self.system.processes:
            self.system.start_standins()
            for service in self.topology.snapshots:
                self.put_snapshots(service)
        for name in words or self.topology.instances:
            self.system.start_instance(name, options.get("unread_log", False))

    def kill(self, words, _):
        for name in self.targets(words):
            self.system.signal(name, signal.SIGKILL)

    def freeze(self, words, _):
        for name in self.targets(words):
            self.system.signal(name, signal.SIGSTOP)

    def thaw(self, words, _):
        for name in self.targets(words or list(self.system.frozen)):
            self.system.signal(name, signal.SIGCONT)

    def hang_up(self, words, _):
        for name in self.targets(words):
            self.system.signal(name, signal.SIGHUP)

    def stop(self, words, _):
        for name in self.targets(words):
            self.system.signal(name, signal.SIGTERM)

    # Operators

    def publish(self, words, options):
        """publish [as LABEL]: succeeds once the configuration is in force at
        every instance."""
        folder = tempfile.mkdtemp(prefix="services-", dir=self.system.folder)
        for service in self.topology.services:
            value = self.topology.service_file(service, self.system.ports)
            path = os.path.join(folder, f"{service}.papayaglade.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(value, file, indent=1)
        port = self.system.port("platform/operators")
        self.run(words, "publish", "--platform-address", "127.0.0.1",
                 "--platform-port", str(port), folder)

    def run(self, words, *arguments):
        """Runs a papayaglade command.

        With `as LABEL` the exit code is stored under the label; without it an
        exit code other than 0 fails the scenario."""
        command = [os.path.join(self.system.build, "papayaglade"), *arguments]
        done = subprocess.run(command, capture_output=True, text=True,
                              timeout=COMMAND_TIMEOUT_S, check=False)
        log = os.path.join(self.system.folder, "commands.log")
        with open(log, "a", encoding="utf-8") as file:
            file.write(f"{arguments}: {done.returncode}\n"
                       f"{done.stdout}{done.stderr}\n")
        if "as" in words:
            self.exit_codes[words[words.index("as") + 1]] = done.returncode
        elif done.returncode != 0:
            raise Failure(f"{arguments[0]} to succeed",
                          f"exit {done.returncode}: {done.stderr.strip()}")

    def out(self, words, options):
        self.order_data_centre("out", words, options)

    def into(self, words, options):
        self.order_data_centre("in", words, options)

    def order_data_centre(self, direction, words, options):
        """out CENTRE [at=INSTANCE]: sends the order through the instance, or
        through the platform when none is given."""
        endpoint, purpose = "platform", "platform/operators"
        if "at" in options:
            endpoint, purpose = "operators", f"operators/{options['at']}"
        self.command_times[words[0]] = time.monotonic()
        self.run(words, "data-centre", f"--{endpoint}-address", "127.0.0.1",
                 f"--{endpoint}-port", str(self.system.port(purpose)),
                 direction, words[0])

    def race(self, words, options):
        """race COMMAND / COMMAND: runs both commands in parallel, labelled
        `first` and `second`."""
        separator = words.index("/")
        failures = []

        def run_side(label, command):
            try:
                self.execute(command[0], [*command[1:], "as", label], options)
            except Exception as failed:  # raised again on the scenario's thread
                failures.append(failed)

        threads = [threading.Thread(target=run_side, args=each) for each in
                   (("first", words[:separator]),
                    ("second", words[separator + 1:]))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if failures:
            raise failures[0]
        codes = [self.exit_codes["first"], self.exit_codes["second"]]
        if not set(codes) <= RACE_EXIT_CODES:
            raise Failure(f"exits among {sorted(RACE_EXIT_CODES)}", codes)

    # Callers

    def query(self, words, options):
        self.callers.send_query(words[0], options,
                                options.pop("as", "query"))

    def load(self, words, options):
        name, workload = words
        self.callers.start_load(name, workload, options)

    def end_load(self, words, _):
        for name in words or list(self.callers.loads):
            self.callers.end_load(name)

    def chaos(self, words, options):
        """chaos SEED rounds=N load=LABEL"""
        run = Chaos(self, int(words[0]), options["load"])
        try:
            run.run(options.get("rounds", 5))
        finally:
            path = os.path.join(self.system.folder, "chaos.log")
            with open(path, "w", encoding="utf-8") as file:
                file.write("\n".join(run.executed_commands) + "\n")

    # Platform

    def put_snapshots(self, service):
        target = f"/objects/snapshots/{service}"
        port = self.system.port("platform/operators")
        summary = self.system.summary("platform")["platform"]
        stored = summary.get("objects", {}).get("snapshots", {}).get(service)
        version = stored["version"] if stored else 0
        http.call_json(port, "PUT", f"{target}?version={version}",
                       self.topology.snapshot_object(service))

    def snapshot(self, words, options):
        service = self.topology.add_snapshot(words, options)
        if self.system.processes:
            self.put_snapshots(service)

    def drop_snapshot(self, words, _):
        """drop-snapshot N of SERVICE: removes the snapshot from the object of
        the platform. Answers may still come from the snapshot, so the runner
        keeps its shards."""
        service = words[2]
        kept = dict(self.topology.snapshots[service])
        del self.topology.snapshots[service][int(words[0])]
        self.put_snapshots(service)
        self.topology.snapshots[service] = kept

    def outage(self, words, options):
        """outage refuse|hang|slow [INSTANCE...] [delay_ms=N]"""
        for caller in words[1:] or [""]:
            self.platform(words[0], caller=caller, **options)

    def platform(self, action, **options):
        self.system.send_command("platform", "/platform",
                                 {"do": action, **options})

    def mark_platform(self, _words, _options):
        self.platform("mark")

    def reset_platform(self, _words, _options):
        self.platform("reset")

    def lose_answer(self, words, _):
        """lose-answer KIND|UPSTREAM [N]"""
        count = int(words[1]) if len(words) > 1 else 1
        if words[0] in self.topology.upstreams:
            self.upstream(words[0], "lose", count=count)
        else:
            self.platform("lose", kind=words[0], count=count)

    # Upstreams

    def upstream(self, name, action, **options):
        self.command_times[name] = time.monotonic()
        self.system.send_command("upstreams", f"/upstream/{name}",
                                 {"do": action, **options})

    def go_cold(self, words, options):
        for name in words:
            self.upstream(name, "go_cold", **options)

    def leave(self, words, options):
        for name in words:
            self.upstream(name, "leave", **options)

    def return_(self, words, _):
        for name in words:
            self.upstream(name, "return")

    def down(self, words, _):
        for name in words:
            self.upstream(name, "down")

    def up(self, words, _):
        for name in words:
            self.upstream(name, "up")

    def set(self, words, options):
        """set UPSTREAM... service_us=N snapshots=[1,2] ..."""
        for name in words:
            self.upstream(name, "set", **options)

    # Links between instances

    def instances_of(self, word):
        if word in self.topology.instances:
            return [word]
        return [name for name, centre in self.topology.instances.items()
                if centre == word]

    def command_links(self, words, action, options):
        """Sends a command for the links in both directions between two
        instances or data centres."""
        for one in self.instances_of(words[0]):
            for other in self.instances_of(words[1]):
                for opener, owner in ((one, other), (other, one)):
                    self.system.send_command("relays", f"/relay/{owner}", {
                        "do": action, "from": opener, **options})
        self.command_times[words[0]] = time.monotonic()

    def cut(self, words, options):
        """cut A B | cut INSTANCE|CENTRE platform"""
        if words[1] == "platform":
            for name in self.instances_of(words[0]):
                self.platform("hang", caller=name)
        else:
            self.command_links(words, "cut", options)

    def delay(self, words, options):
        self.command_links(words, "delay", options)

    def silence(self, words, options):
        """silence UPSTREAM [hold_ms=N] | silence A B [new_too=true]"""
        if words[0] in self.topology.upstreams:
            self.upstream(words[0], "silence", **options)
        else:
            self.command_links(words, "silence", options)

    def heal(self, words, _):
        """heal platform [INSTANCE|CENTRE] | heal A B"""
        if words[0] == "platform":
            names = self.instances_of(words[1]) if len(words) > 1 else [""]
            for name in names:
                self.platform("heal", caller=name)
        else:
            self.command_links(words, "heal", {})

    def execute(self, word, words, options):
        names = {"in": "into", "return": "return_"}
        method = names.get(word, word.replace("-", "_"))
        if method.startswith("_") or not hasattr(self, method):
            raise ValueError(f"unknown command: {word}")
        getattr(self, method)(words, options)
