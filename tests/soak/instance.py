"""Runs a real entry process behind relays and restarts it when it exits."""

import asyncio
import dataclasses
import json
import os
import signal

from .http_text import read_message
from .log_pipe import LogPipe
from .ports import free_port
from .relay import Relay

SHUTDOWN_TIMEOUT_S = 6.0
ZONES = ["kigali", "huye"]


@dataclasses.dataclass
class Lifetime:
    """One start of an instance's process."""
    name: str
    program: int = 0  # index among those of the soak
    term_s: float | None = None  # when SIGTERM was sent
    exit_s: float | None = None
    # (index of a version, time at which an upstream saw that it is in force)
    effects: list = dataclasses.field(default_factory=list)

    def by_program(self):
        """Returns what a violation says after its rule."""
        return " by the second program" * self.program


class Instance:
    def __init__(self, name, zone, soak, starts=0):
        self.name = name
        self.starts = starts  # each start takes the next one of the programs
        self.zone = zone
        self.soak = soak
        self.ports = {p: free_port() for p in
                      ("callers", "readiness", "control", "metrics")}
        self.process = None
        self.lifetime = Lifetime(name)
        self.undisturbed_since = 0.0  # last process start or end of a fault
        self.stopping = False
        self.killed = False
        self.frozen = 0
        self.woken_s = 0.0  # end of the last freeze
        self.rewriting = False  # its settings file is in mid-write
        self.more_settings = {}
        self.log_pipe = None
        self.active_faults = 0  # current faults on its connections
        path = os.path.join(soak.folder, f"{name}.json")
        self.path = path
        # All connections to callers, other instances and the store pass through
        # these relays.
        self.caller_relay = Relay(free_port(), self.ports["callers"])
        self.control_relay = Relay(free_port(), self.ports["control"])
        self.store_relay = Relay(free_port(), soak.store_port)

    async def start_relays(self, seeds):
        self.settings = {p: f"127.0.0.1:{n}" for p, n in self.ports.items()}
        self.settings.update(name=self.name, data_centre=self.zone, region="r",
                        seeds=seeds,
                        store=f"127.0.0.1:{self.store_relay.port}",
                        bounds={"drain_ms":
                                int(self.soak.drain_timeout_s * 1000),
                                "shutdown_s": SHUTDOWN_TIMEOUT_S},
                        **self.more_settings)
        with open(self.path, "w") as file:
            file.write(self.settings_text())
        for each in self.relays():
            await each.start()

    def settings_text(self, indent=None):
        return json.dumps(self.settings, indent=indent)

    def relays(self):
        return (self.caller_relay, self.control_relay, self.store_relay)

    def begin_fault(self):
        """Marks the connections of the instance as faulty until end_fault()."""
        self.active_faults += 1

    def end_fault(self):
        self.active_faults -= 1
        self.undisturbed_since = self.soak.now()

    def settled(self):
        """Whether the process runs and handles signals."""
        return (self.process is not None and self.process.returncode is None
                and not self.stopping and not self.killed
                and self.undisturbed_since <= self.soak.now() - 1)

    def undisturbed_for(self, seconds):
        return (self.active_faults == 0 and not self.stopping
                and not self.killed and not self.frozen
                and self.undisturbed_since <= self.soak.now() - seconds)

    async def supervise(self):
        """Restarts the process whenever it exits, as a platform does."""
        while not self.soak.finished:
            await self.run_once()
            await asyncio.sleep(self.soak.random.uniform(.1, 1))

    async def run_once(self):
        while self.rewriting:
            await asyncio.sleep(.02)
        log = open(os.path.join(self.soak.folder, f"{self.name}.log"), "ab",
                   buffering=0)
        piped = self.soak.random.random() < .5
        self.log_pipe = pipe = LogPipe(log) if piped else None
        program = self.starts % len(self.soak.programs)
        self.starts += 1
        self.undisturbed_since = self.soak.now()
        self.stopping = self.killed = False
        self.lifetime = lifetime = Lifetime(self.name, program)
        self.process = await asyncio.create_subprocess_exec(
            self.soak.programs[program], "entry", "--settings", self.path,
            stdout=pipe.writer_end if pipe else log, stderr=log)
        if pipe:
            pipe.started()
        code = await self.process.wait()
        lifetime.exit_s = self.soak.now()
        if pipe:
            pipe.finish()
        log.close()
        expected = self.stopping or self.soak.finished
        if not self.killed and (code != 0 or not expected):
            self.soak.ledger.record_violation(
                "a process exits only when it is told to",
                f"{self.name} exit {code}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self):
        """Returns the most memory that the process has used."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                return next((int(line.split()[1]) // 1024 for line in status
                             if line.startswith("VmHWM")), 0)
        except (AttributeError, FileNotFoundError, ProcessLookupError):
            return 0

    async def stop(self):
        """Stops the process as planned work does; returns whether it exited
        by itself before the end of the grace."""
        process = self.process
        self.stopping = True
        self.lifetime.term_s = self.soak.now()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), SHUTDOWN_TIMEOUT_S)
            return True
        except asyncio.TimeoutError:
            self.killed = True
            if process.returncode is None:
                process.kill()
            return False

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message.start
        except (OSError, asyncio.TimeoutError):
            return False
