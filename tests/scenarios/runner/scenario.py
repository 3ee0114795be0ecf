"""Reads a scenario file and runs it line by line."""

import dataclasses
import json
import os
import re
import shlex
import tempfile
import time
import shutil

from .callers import Callers
from .expectations import Expectations
from .failure import Failure
from .steps import Steps
from .system import System
from .topology import Topology, parse_value

OPTION_PATTERN = re.compile(r"^([a-z_0-9][a-z_0-9-]*)=(.+)$", re.IGNORECASE)


class Scenario:
    def __init__(self, path, build):
        self.path = path
        self.folder = tempfile.mkdtemp(prefix="scenario-")
        self.topology = Topology()
        self.system = System(self.topology, self.folder, build)
        self.callers = Callers(self.system)
        self.steps = Steps(self.topology, self.system, self.callers)
        self.expectations = Expectations(self.topology, self.system,
                                         self.callers, self.steps)

    def run(self):
        """Returns an empty string, or what failed and where the logs are."""
        with open(self.path, encoding="utf-8") as file:
            lines = file.read().splitlines()
        number, text = 0, ""
        start = time.monotonic()
        try:
            for number, text in enumerate(lines, 1):
                self.run_line(text)
            number, text = len(lines), "(the promises, at the end)"
            self.callers.end_all()
            self.expectations.expect_promises([], {}, 0)
        except Failure as failed:
            return self.report_failure(number, text, start, failed.expected,
                                       failed.seen)
        except (ValueError, KeyError, IndexError, TypeError, OSError,
                RuntimeError) as failed:
            return self.report_failure(number, text, start,
                                       "a line that can be run",
                                       f"{type(failed).__name__}: {failed}")
        finally:
            self.callers.end_all()
            self.system.close()
        shutil.rmtree(self.folder)
        return ""

    def report_failure(self, number, text, start, expected, seen):
        name = os.path.basename(self.path)
        with open(os.path.join(self.folder, "answers.json"), "w",
                  encoding="utf-8") as file:
            for each in self.callers.answers:
                file.write(json.dumps(dataclasses.asdict(each)) + "\n")
        for standin in self.system.control_ports:
            self.system.write(f"{standin}-summary.json",
                              self.system.summary(standin))
        return (f"{name}:{number}: {text.strip()}\n"
                f"  after    {time.monotonic() - start:.1f} s\n"
                f"  expected {expected}\n  seen     {seen}\n"
                f"  logs     {self.folder}")

    def run_line(self, text):
        words = shlex.split(text, comments=True)
        if not words:
            return
        word, rest = words[0], words[1:]
        options = {}
        plain = []
        for each in rest:
            match = OPTION_PATTERN.match(each)
            if match:
                options[match[1]] = parse_value(match[2])
            else:
                plain.append(each)
        if word in Topology.LINES:
            Topology.LINES[word](self.topology, plain, options)
        elif word == "expect":
            self.expectations.check(plain, options)
        else:
            self.steps.execute(word, plain, options)
