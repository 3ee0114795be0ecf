"""Invariants of every answer and every upstream, checked in each scenario."""

import re

HIT_PATTERN = re.compile(
    r"(?P<query>.*) from (?P<upstream>\S+) shard (?P<shard>\S+) "
    r"snapshot (?P<snapshot>\d+)$")
MAX_VIOLATIONS_SHOWN = 3


class Promises:
    """Checks the invariants; each check returns a list of violations."""

    def __init__(self, topology, system, answers):
        self.topology = topology
        self.system = system
        self.answers = answers
        self.upstreams = system.summary("upstreams")["upstreams"]

    def all_violations(self):
        found = []
        for check in (self.one_snapshot, self.true_coverage, self.whole_answer,
                      self.not_run_is_true, self.at_most_once, self.cold_bound):
            violations = check()
            if violations:
                found.append(f"{check.__name__}: {len(violations)}, such as "
                             + "; ".join(violations[:MAX_VIOLATIONS_SHOWN]))
        return found

    def answered(self):
        return [each for each in self.answers if each.status == 200]

    def is_search(self, answer):
        options = self.topology.workloads[answer.workload]["options"]
        return options.get("repeatable", True)

    def one_snapshot(self):
        found = []
        for answer in filter(self.is_search, self.answered()):
            pinned = str(answer.account.get("snapshot"))
            for hit in answer.body["hits"]:
                match = HIT_PATTERN.match(hit["text"])
                if match is None or match["snapshot"] != pinned:
                    found.append(f"{answer.request_id} pinned {pinned}, "
                                 f"hit '{hit['text']}'")
        return found

    def true_coverage(self):
        found = []
        for answer in filter(self.is_search, self.answered()):
            account = answer.account
            service = self.topology.workloads[answer.workload]["service"]
            placement = self.topology.snapshots[service].get(
                account.get("snapshot"), {})
            reported = {each["shard"] for each in account["shards"]
                        if each["outcome"] == "answered"}
            seen = {HIT_PATTERN.match(hit["text"])["shard"]
                    for hit in answer.body["hits"]
                    if HIT_PATTERN.match(hit["text"])}
            listed = {each["shard"] for each in account["shards"]}
            true = len(seen) / len(placement) if placement else -1
            if (reported != seen or listed != set(placement)
                or abs(account["coverage"] - true) > 1e-6):
                found.append(
                    f"{answer.request_id} reported {account['coverage']},"
                    f" true {true:.3f}")
        return found

    def whole_answer(self):
        found = []
        for answer in self.answered():
            keys = [hit["key"] for hit in answer.body["hits"]]
            if len(keys) != len(set(keys)):
                found.append(f"{answer.request_id} contains a key twice")
            if answer.account.get("request_id") not in ("", answer.request_id):
                found.append(f"{answer.request_id} got the answer to "
                             f"{answer.account['request_id']}")
            for hit in answer.body["hits"]:
                match = HIT_PATTERN.match(hit["text"])
                if match is None or match["query"] != answer.query:
                    found.append(f"{answer.request_id} got '{hit['text']}'")
        return found

    def not_run_is_true(self):
        begun = set()
        for name in self.topology.upstreams:
            begun |= {work.split("|")[0] for work in self.system.begun(name)}
        return [f"{each.request_id} was begun at an upstream"
                for each in self.answers
                if each.outcome == "not_run" and each.request_id in begun]

    def at_most_once(self):
        runs = {}
        for upstream in self.upstreams.values():
            for query, count in upstream["runs"].items():
                runs[query] = runs.get(query, 0) + count
        return [f"'{query}' ran {count} times"
                for query, count in runs.items() if count > 1]

    def cold_bound(self):
        return [f"{name} was overloaded {count} times while cold"
                for name, each in self.upstreams.items()
                if (count := each["counts"].get("overload", 0)) > 0]
