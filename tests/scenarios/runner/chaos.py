"""Injects random faults from a seed: `chaos SEED rounds=N load=LABEL`."""

import random

from .failure import Failure
from .system import wait_until

ANSWERS_PER_STAGE = 25
STAGE_TIMEOUT_S = 15


class Chaos:
    """Injects faults in rounds.

    Each round injects one or two faults, waits for answers to the load, heals
    the faults and waits for answers again. The faults of a round may affect
    the same target."""

    def __init__(self, steps, seed, load):
        self.steps = steps
        self.random = random.Random(seed)
        self.load = load
        self.executed_commands = []  # printed when a stage fails and in the log

    def run(self, rounds):
        for _ in range(rounds):
            count = self.random.choice((1, 2, 2))
            faults = [self.random.choice(self.available_faults())()
                      for _ in range(count)]
            for fault, _ in faults:
                self.run_command(fault)
            self.wait_for_answers()
            for _, recovery in reversed(faults):
                self.run_command(recovery)
            self.wait_for_answers()

    def run_command(self, command):
        if not command:
            return
        self.executed_commands.append(" ".join(command))
        words = [each for each in command[1:] if "=" not in each]
        options = {key: int(value) for key, value in
                   (each.split("=") for each in command[1:] if "=" in each)}
        self.steps.execute(command[0], words, options)

    def wait_for_answers(self):
        """Waits for a number of answers rather than for a fixed time."""
        answers = self.steps.callers.answers_of_load
        before = len(answers(self.load))
        if not wait_until(lambda: len(answers(self.load)) - before
                          >= ANSWERS_PER_STAGE, STAGE_TIMEOUT_S):
            raise Failure(f"{ANSWERS_PER_STAGE} answers in {STAGE_TIMEOUT_S} s",
                          f"{len(answers(self.load)) - before} after "
                          + "; ".join(self.executed_commands))

    def available_faults(self):
        chosen = [self.kill, self.freeze, self.go_cold, self.silence,
                  self.lose, self.outage, self.leave]
        if self.steps.topology.relays:
            chosen += [self.silent_links, self.cut]
        return chosen

    def instance(self):
        return self.random.choice(sorted(self.steps.topology.instances))

    def upstream(self):
        return self.random.choice(sorted(self.steps.topology.upstreams))

    def kill(self):
        name = self.instance()
        return ["kill", name], ["start", name]

    def freeze(self):
        name = self.instance()
        return ["freeze", name], ["thaw", name]

    def go_cold(self):
        return ["go-cold", self.upstream()], None

    def silence(self):
        return ["silence", self.upstream(), "hold_ms=2000"], None

    def lose(self):
        kind = self.random.choice([self.upstream(), "roster", "claim"])
        return ["lose-answer", kind, "2"], None

    def outage(self):
        mode = self.random.choice(["refuse", "hang"])
        return ["outage", mode], ["heal", "platform"]

    def leave(self):
        name = self.upstream()
        return ["leave", name], ["return", name]

    def silent_links(self):
        first, second = self.random.sample(
            sorted(self.steps.topology.instances), 2)
        return ["silence", first, second], ["heal", first, second]

    def cut(self):
        first, second = self.random.sample(
            sorted(self.steps.topology.instances), 2)
        return ["cut", first, second], ["heal", first, second]
