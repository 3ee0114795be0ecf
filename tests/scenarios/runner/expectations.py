"""The forms of `expect`: conditions with bounds on time."""

import collections
import operator
import time

from . import http
from .failure import Failure
from .promises import Promises
from .system import wait_until

QUIET_S = 2.0
REASONS_SHOWN = 6
COMPARISONS = {"==": operator.eq, "!=": operator.ne, "<=": operator.le,
               ">=": operator.ge, "<": operator.lt, ">": operator.gt}


class Expectations:
    def __init__(self, topology, system, callers, steps):
        self.topology = topology
        self.system = system
        self.callers = callers
        self.steps = steps

    def check(self, words, options):
        """expect FORM ... [within N s]"""
        bound_s = 0.0
        if "within" in words:
            place = words.index("within")
            bound_s = float(words[place + 1])
            words = words[:place]
        form = getattr(self, "expect_" + words[0].replace("-", "_"), None)
        if form is None:
            raise ValueError(f"no such expectation: {words[0]}")
        form(words[1:], options, bound_s)

    @staticmethod
    def until(bound_s, expected, probe):
        """`probe` returns (holds, seen)."""
        seen = [None]

        def holds():
            result, seen[0] = probe()
            return result

        if not wait_until(holds, bound_s):
            raise Failure(f"{expected} within {bound_s:g} s", seen[0])

    # Instances

    def expect_ready(self, words, _, bound_s):
        names = words or list(self.topology.instances)
        self.until(bound_s, f"{names} ready", lambda: (
            all(self.system.is_ready(name) for name in names),
            {name: self.system.readiness(name) for name in names}))

    def expect_not_ready(self, words, _, bound_s):
        self.until(bound_s, f"{words} not ready", lambda: (
            not any(self.system.is_ready(name) for name in words), "ready"))

    def expect_exit(self, words, _, bound_s):
        """expect exit INSTANCE CODE"""
        process = self.system.processes[words[0]]
        self.until(bound_s, f"exit {words[1]} of {words[0]}", lambda: (
            process.poll() == int(words[1]), process.poll()))

    def expect_exits(self, _, options, __):
        """expect exits LABEL=CODE... of labelled commands"""
        seen = {label: self.steps.exits.get(label) for label in options}
        if seen != options:
            raise Failure(f"exits {options}", seen)

    def expect_one_accepted(self, words, _, __):
        """expect one-accepted LABEL LABEL: one command, not both, succeeded"""
        seen = {label: self.steps.exits.get(label) for label in words}
        if sum(code == 0 for code in seen.values()) != 1:
            raise Failure(f"one of {words} to be accepted", seen)

    def expect_version(self, words, _, bound_s):
        """expect version N at INSTANCE..."""
        names = words[2:] if len(words) > 2 else [
            name for name in self.topology.instances if self.alive(name)]
        self.until(bound_s, f"version {words[0]} at {names}", lambda: (
            all(self.version(name) == int(words[0]) for name in names),
            {name: self.version(name) for name in names}))

    def alive(self, name):
        process = self.system.processes.get(name)
        return (process is not None and process.poll() is None
                and name not in self.system.frozen)

    def version(self, name):
        try:
            port = self.system.port(f"operators/{name}")
            return http.call_json(port, "GET", "/configuration")["version"]
        except (OSError, ValueError, KeyError):
            return None

    # Answers

    def expect_query(self, words, options, bound_s):
        """expect query WORKLOAD coverage=1 outcome=answered [at=NAME|each]:
        asked again until the answer is as wanted"""
        if options.get("at") == "each":
            end = time.monotonic() + bound_s
            for name in filter(self.alive, self.topology.instances):
                left = max(0, end - time.monotonic())
                self.expect_query(words, {**options, "at": name}, left)
            return
        wanted = {key: options.pop(key) for key in list(options)
                  if key in ("coverage", "outcome", "snapshot", "status")}
        wanted.setdefault("outcome", "answered")
        label = options.pop("as", "query")

        def probe():
            answer = self.callers.ask(words[0], dict(options), label)
            seen = {"coverage": answer.coverage, "outcome": answer.outcome,
                    "snapshot": answer.account.get("snapshot"),
                    "status": answer.status}
            holds = all(seen[key] == value for key, value in wanted.items())
            return holds, (seen, answer.body.get("error") or answer.error,
                           [each for each in answer.account.get("shards", [])
                            if each["outcome"] != "answered"][:3])

        self.until(bound_s, f"a query with {wanted}", probe)

    def expect_load(self, words, options, bound_s):
        """expect load NAME FIELD OP VALUE, FIELD one of: count, answered,
        full (share), cut-off, outcome:NAME, p50-ms, p99-ms, repeats (share)"""
        name, what, comparison, value = words
        since = self.since(options)
        try:
            self.compare(f"load {name}", what, comparison, float(value),
                         bound_s, lambda: self.load_figure(name, what, since))
        except Failure as failed:
            why = self.unanswered(name, since)
            raise Failure(failed.expected, f"{failed.seen}; {why}") from failed

    def unanswered(self, name, since):
        """The commonest reasons of a load's answers that are not whole."""
        reasons = collections.Counter()
        for answer in self.callers.of_load(name, since):
            if answer.outcome == "answered" and answer.coverage == 1:
                continue
            shards = {each["reason"] or each["outcome"]
                      for each in answer.account.get("shards", [])
                      if each["outcome"] != "answered"}
            kind = answer.body.get("error", {}).get("kind", "")
            reasons[f"{answer.outcome} {kind} {answer.error} "
                    f"{sorted(shards)} at {answer.instance}"] += 1
        return reasons.most_common(REASONS_SHOWN)

    def since(self, options):
        """since=TARGET: from the last command on TARGET on."""
        if "since" not in options:
            return 0
        return (self.steps.command_times[options["since"]]
                + options.get("after_s", 0))

    def load_figure(self, name, what, since):
        answers = self.callers.of_load(name, since)
        count = max(len(answers), 1)
        if what == "count":
            return len(answers)
        if what == "answered":
            return sum(each.outcome == "answered" for each in answers) / count
        if what == "full":
            return sum(each.coverage == 1 for each in answers) / count
        if what == "cut-off":
            return sum(each.status == 0 for each in answers)
        if what.startswith("outcome:"):
            return sum(each.outcome == what[8:] for each in answers)
        if what == "keys":
            return len({each.key for each in answers})
        times = sorted(each.seconds * 1000 for each in answers)
        share = {"p50-ms": 0.5, "p99-ms": 0.99, "max-ms": 1}[what]
        return times[min(int(len(times) * share), len(times) - 1)]

    @staticmethod
    def compare(subject, what, comparison, value, bound_s, figure):
        def probe():
            seen = figure()
            return COMPARISONS[comparison](seen, value), seen

        Expectations.until(
            bound_s, f"{subject} {what} {comparison} {value:g}", probe)

    # Stand-ins

    def expect_upstream(self, words, _, bound_s):
        """expect upstream NAME|all FIELD OP VALUE; a FIELD of the summary or
        a count of the log"""
        name, what, comparison, value = words
        if what == "state":
            return self.until(bound_s, f"{name} {value}", lambda: (
                self.system.upstream(name)["state"] == value,
                self.system.upstream(name)["state"]))
        return self.compare(f"upstream {name}", what, comparison, float(value),
                            bound_s, lambda: self.upstream_figure(name, what))

    def upstream_figure(self, name, what):
        summaries = self.system.summary("upstreams")["upstreams"]
        chosen = summaries.values() if name == "all" else [summaries[name]]
        if what == "repeated-share":
            begun = sum(each["counts"].get("begun", 0) for each in chosen)
            repeated = sum(each["counts"].get("repeated", 0)
                           for each in chosen)
            return repeated / max(begun, 1)
        return sum(each[what] if what in each
                   else each["counts"].get(what, 0) for each in chosen)

    def expect_platform(self, words, _, bound_s):
        """expect platform version KIND/NAME OP VALUE | calls INSTANCE ..."""
        what, which, comparison, value = words

        def figure():
            summary = self.system.summary("platform")["platform"]
            if what == "calls":
                return sum(summary["calls"].get(which, {}).values())
            kind, name = which.split("/")
            objects = summary.get("objects", {}).get(kind, {})
            return objects.get(name, {"version": 0})["version"]

        self.compare(f"platform {what}", which, comparison, float(value),
                     bound_s, figure)

    def expect_steward(self, words, _, bound_s):
        """expect steward UPSTREAM not NAME"""
        self.until(bound_s, f"another steward of {words[0]}", lambda: (
            self.system.steward_of(words[0]) != words[2], words[2]))

    def expect_no_new_work(self, words, _, bound_s):
        """expect no-new-work UPSTREAM|CENTRE: its last new work arrives within
        the bound after the command, while others go on receiving work."""
        name = words[0]
        start = self.steps.command_times[name]
        own = {each for each, upstream in self.topology.upstreams.items()
               if name in (each, upstream["centre"])}
        while True:
            summary = self.system.summary("upstreams")
            now = summary["now_us"] / 1e6
            last = {each: upstream["last_arrival_us"] / 1e6 for each, upstream
                    in summary["upstreams"].items()}
            latest = max(last[each] for each in own) - start
            if latest > bound_s:
                raise Failure(f"no new work at {name} after {bound_s:g} s",
                              f"work {latest:.2f} s after the command")
            if now - start > bound_s + QUIET_S:
                break
            time.sleep(0.1)
        others = [when for each, when in last.items() if each not in own]
        if not others or now - max(others) > 1:
            raise Failure("work at other upstreams meanwhile", "none for 1 s")

    def expect_new_work(self, words, _, bound_s):
        """expect new-work UPSTREAM: some arrives after the last command on it
        or on its data centre"""
        centre = self.topology.upstreams[words[0]]["centre"]
        times = self.steps.command_times
        start = max(times.get(words[0], 0), times.get(centre, 0))

        def probe():
            arrived = self.system.upstream(words[0])["last_arrival_us"] / 1e6
            return arrived > start, f"last {start - arrived:.1f} s before"

        self.until(bound_s, f"new work at {words[0]}", probe)

    # Promises

    def expect_promises(self, _words, _options, _bound_s):
        """Holds for everything so far; the end of each scenario checks it."""
        found = Promises(self.topology, self.system,
                         self.callers.answers).all_violations()
        if found:
            raise Failure("every promise to hold", "\n  ".join(found))
