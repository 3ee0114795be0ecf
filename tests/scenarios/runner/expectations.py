"""The forms of `expect`: conditions that must hold within a timeout."""

import collections
import operator
import time

from . import http
from .failure import Failure
from .promises import Promises
from .system import wait_until

QUIET_PERIOD_S = 2.0
MAX_REASONS_SHOWN = 6
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
        timeout_s = 0.0
        if "within" in words:
            position = words.index("within")
            timeout_s = float(words[position + 1])
            words = words[:position]
        form = getattr(self, "expect_" + words[0].replace("-", "_"), None)
        if form is None:
            raise ValueError(f"unknown expectation: {words[0]}")
        form(words[1:], options, timeout_s)

    @staticmethod
    def wait_for(timeout_s, expected, probe):
        """Polls `probe`, which returns (holds, seen), until it holds."""
        seen = [None]

        def holds():
            result, seen[0] = probe()
            return result

        if not wait_until(holds, timeout_s):
            raise Failure(f"{expected} within {timeout_s:g} s", seen[0])

    # Instances

    def expect_ready(self, words, _, timeout_s):
        names = words or list(self.topology.instances)
        self.wait_for(timeout_s, f"{names} ready", lambda: (
            all(self.system.is_ready(name) for name in names),
            {name: self.system.readiness(name) for name in names}))

    def expect_not_ready(self, words, _, timeout_s):
        self.wait_for(timeout_s, f"{words} not ready", lambda: (
            not any(self.system.is_ready(name) for name in words), "ready"))

    def expect_exit(self, words, _, timeout_s):
        """expect exit INSTANCE CODE"""
        process = self.system.processes[words[0]]
        self.wait_for(timeout_s, f"exit {words[1]} of {words[0]}", lambda: (
            process.poll() == int(words[1]), process.poll()))

    def expect_exits(self, _, options, __):
        """expect exits LABEL=CODE...: the exit codes of labelled commands"""
        seen = {label: self.steps.exit_codes.get(label) for label in options}
        if seen != options:
            raise Failure(f"exits {options}", seen)

    def expect_one_accepted(self, words, _, __):
        """expect one-accepted LABEL LABEL: exactly one command succeeded"""
        seen = {label: self.steps.exit_codes.get(label) for label in words}
        if sum(code == 0 for code in seen.values()) != 1:
            raise Failure(f"one of {words} to be accepted", seen)

    def expect_version(self, words, _, timeout_s):
        """expect version N at INSTANCE..."""
        names = words[2:] if len(words) > 2 else [
            name for name in self.topology.instances if self.is_running(name)]
        self.wait_for(timeout_s, f"version {words[0]} at {names}", lambda: (
            all(self.version(name) == int(words[0]) for name in names),
            {name: self.version(name) for name in names}))

    def is_running(self, name):
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

    def expect_query(self, words, options, timeout_s):
        """expect query WORKLOAD coverage=1 outcome=answered [at=NAME|each]:
        repeats the query until the answer matches"""
        if options.get("at") == "each":
            end = time.monotonic() + timeout_s
            for name in filter(self.is_running, self.topology.instances):
                left = max(0, end - time.monotonic())
                self.expect_query(words, {**options, "at": name}, left)
            return
        wanted = {key: options.pop(key) for key in list(options)
                  if key in ("coverage", "outcome", "snapshot", "status")}
        wanted.setdefault("outcome", "answered")
        label = options.pop("as", "query")

        def probe():
            answer = self.callers.send_query(words[0], dict(options), label)
            seen = {"coverage": answer.coverage, "outcome": answer.outcome,
                    "snapshot": answer.account.get("snapshot"),
                    "status": answer.status}
            holds = all(seen[key] == value for key, value in wanted.items())
            return holds, (seen, answer.body.get("error") or answer.error,
                           [each for each in answer.account.get("shards", [])
                            if each["outcome"] != "answered"][:3])

        self.wait_for(timeout_s, f"a query with {wanted}", probe)

    def expect_load(self, words, options, timeout_s):
        """expect load NAME FIELD OP VALUE, FIELD one of: count, answered,
        full (share), cut-off, outcome:NAME, p50-ms, p99-ms, repeats (share)"""
        name, field, comparison, value = words
        since = self.window_start(options)
        try:
            self.compare(f"load {name}", field, comparison, float(value),
                         timeout_s,
                         lambda: self.load_metric(name, field, since))
        except Failure as failed:
            why = self.incomplete_reasons(name, since)
            raise Failure(failed.expected, f"{failed.seen}; {why}") from failed

    def incomplete_reasons(self, name, since):
        """Returns the most frequent reasons of a load's incomplete answers."""
        reasons = collections.Counter()
        for answer in self.callers.answers_of_load(name, since):
            if answer.outcome == "answered" and answer.coverage == 1:
                continue
            shards = {each["reason"] or each["outcome"]
                      for each in answer.account.get("shards", [])
                      if each["outcome"] != "answered"}
            kind = answer.body.get("error", {}).get("kind", "")
            reasons[f"{answer.outcome} {kind} {answer.error} "
                    f"{sorted(shards)} at {answer.instance}"] += 1
        return reasons.most_common(MAX_REASONS_SHOWN)

    def window_start(self, options):
        """since=TARGET [after_s=N]: returns the time of the last command on
        TARGET plus N seconds; without the option, 0."""
        if "since" not in options:
            return 0
        return (self.steps.command_times[options["since"]]
                + options.get("after_s", 0))

    def load_metric(self, name, field, since):
        answers = self.callers.answers_of_load(name, since)
        count = max(len(answers), 1)
        if field == "count":
            return len(answers)
        if field == "answered":
            return sum(each.outcome == "answered" for each in answers) / count
        if field == "full":
            return sum(each.coverage == 1 for each in answers) / count
        if field == "cut-off":
            return sum(each.status == 0 for each in answers)
        if field.startswith("outcome:"):
            return sum(each.outcome == field[8:] for each in answers)
        if field == "keys":
            return len({each.key for each in answers})
        times = sorted(each.seconds * 1000 for each in answers)
        share = {"p50-ms": 0.5, "p99-ms": 0.99, "max-ms": 1}[field]
        return times[min(int(len(times) * share), len(times) - 1)]

    @staticmethod
    def compare(subject, field, comparison, value, timeout_s, read_metric):
        def probe():
            seen = read_metric()
            return COMPARISONS[comparison](seen, value), seen

        Expectations.wait_for(
            timeout_s, f"{subject} {field} {comparison} {value:g}", probe)

    # Stand-ins

    def expect_upstream(self, words, _, timeout_s):
        """expect upstream NAME|all FIELD OP VALUE: FIELD is a member of the
        summary or of its counts"""
        name, field, comparison, value = words
        if field == "state":
            return self.wait_for(timeout_s, f"{name} {value}", lambda: (
                self.system.upstream(name)["state"] == value,
                self.system.upstream(name)["state"]))
        return self.compare(f"upstream {name}", field, comparison, float(value),
                            timeout_s,
                            lambda: self.upstream_metric(name, field))

    def upstream_metric(self, name, field):
        summaries = self.system.summary("upstreams")["upstreams"]
        chosen = summaries.values() if name == "all" else [summaries[name]]
        if field == "repeated-share":
            begun = sum(each["counts"].get("begun", 0) for each in chosen)
            repeated = sum(each["counts"].get("repeated", 0)
                           for each in chosen)
            return repeated / max(begun, 1)
        return sum(each[field] if field in each
                   else each["counts"].get(field, 0) for each in chosen)

    def expect_platform(self, words, _, timeout_s):
        """expect platform version KIND/NAME OP VALUE | calls INSTANCE ..."""
        field, target, comparison, value = words

        def read_metric():
            summary = self.system.summary("platform")["platform"]
            if field == "calls":
                return sum(summary["calls"].get(target, {}).values())
            kind, name = target.split("/")
            objects = summary.get("objects", {}).get(kind, {})
            return objects.get(name, {"version": 0})["version"]

        self.compare(f"platform {field}", target, comparison, float(value),
                     timeout_s, read_metric)

    def expect_steward(self, words, _, timeout_s):
        """expect steward UPSTREAM not NAME"""
        self.wait_for(timeout_s, f"another steward of {words[0]}", lambda: (
            self.system.steward_of(words[0]) != words[2], words[2]))

    def expect_no_new_work(self, words, _, timeout_s):
        """expect no-new-work UPSTREAM|CENTRE: the last new work arrives within
        the timeout after the command, while other upstreams still receive
        work."""
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
            if latest > timeout_s:
                raise Failure(f"no new work at {name} after {timeout_s:g} s",
                              f"work {latest:.2f} s after the command")
            if now - start > timeout_s + QUIET_PERIOD_S:
                break
            time.sleep(0.1)
        others = [when for each, when in last.items() if each not in own]
        if not others or now - max(others) > 1:
            raise Failure("work at other upstreams meanwhile", "none for 1 s")

    def expect_new_work(self, words, _, timeout_s):
        """expect new-work UPSTREAM: work arrives after the last command on the
        upstream or on its data centre"""
        centre = self.topology.upstreams[words[0]]["centre"]
        times = self.steps.command_times
        start = max(times.get(words[0], 0), times.get(centre, 0))

        def probe():
            arrived = self.system.upstream(words[0])["last_arrival_us"] / 1e6
            return arrived > start, f"last {start - arrived:.1f} s before"

        self.wait_for(timeout_s, f"new work at {words[0]}", probe)

    # Promises

    def expect_promises(self, _words, _options, _bound_s):
        """Checks the invariants for all answers so far.

        Every scenario ends with this check."""
        found = Promises(self.topology, self.system,
                         self.callers.answers).all_violations()
        if found:
            raise Failure("every promise to hold", "\n  ".join(found))
