"""Records what callers and upstreams saw and checks the guarantees."""

import asyncio
import time

from .connection_owner import ConnectionOwners
from .notices import Notices
from .searcher import RECORD_BYTES, records_of, stamp_of
from .versions import Versions


# Upstreams of a service that a request may reach, as the routes of the soak
# allow it.
MAX_UPSTREAMS = {"search": 2, "pull": 2, "book": 1, "once": 1}


class Ledger:
    def __init__(self, drain_timeout_s, close_timeout_s, searchers,
                 in_touch, in_touch_for=lambda request: False):
        self.searchers = searchers  # searcher id -> searcher, all ever started
        self.in_touch = in_touch  # of an instance, since a time
        self.drain_timeout_s = drain_timeout_s
        self.close_timeout_s = close_timeout_s
        self.route_kinds = {}         # attempt -> route kind
        self.runs = {}          # attempt -> searcher ids
        self.services = {}      # attempt, service -> searcher ids
        self.refused_attempts = set()  # attempts reported as not run
        self.leaving = {}       # searcher id -> time of the acknowledgement
        self.closed = {}        # zone -> time of the acknowledgement
        self.arrivals = {}      # attempt -> times at which upstreams got it
        self.work = {}          # attempt -> (start, end) of each run
        self.senders = {}       # attempt -> instance that took it, or None
        self.bodies = {}        # attempt -> body sent; without, none is checked
        self.calls = []         # of callers that record them
        self.shard_sets = []    # every set of shards that has been in force
        self.violations = []
        self.sent_s = {}        # attempt -> time at which its caller sent it
        self.owners = ConnectionOwners()
        self.versions = Versions(in_touch_for, self.record_violation)
        self.notices = Notices(drain_timeout_s, self.sent_s,
                               self.record_violation)
        self.counts = {}
        self.statuses = {}      # attempt -> status of its answer

    def count(self, event):
        self.counts[event] = self.counts.get(event, 0) + 1

    def record_violation(self, promise, text):
        self.violations.append(f"{promise}: {text}, at {time.time():.3f}")

    def record_call(self, call, message):
        self.calls.append(call)
        if message is None:
            self.count(f"{call.kind} {call.end}")
        else:
            self.check_answer(call.attempt, call.kind, message, self.searchers)

    def record_work(self, attempt, start_s, end_s):
        self.work.setdefault(attempt, []).append((start_s, end_s))

    def record_arrival(self, searcher, attempt, now):
        self.arrivals.setdefault(attempt, []).append(now)
        left = self.leaving.get(searcher.id)
        if left is not None and now > left + self.drain_timeout_s:
            self.record_violation(
                "leaving upstreams get no new work",
                f"{attempt} at {searcher.id} {now - left:.1f} s later")
        closed = self.closed.get(searcher.zone)
        if (closed is not None and now > closed + self.close_timeout_s
                and self.in_touch(self.senders.get(attempt), closed)):
            self.record_violation(
                "closed data centres get no new work",
                f"{attempt} at {searcher.id} {now - closed:.1f} s "
                "later")
        if attempt not in self.route_kinds:
            self.record_violation("only what callers sent is run", attempt)

    def record_run(self, searcher, attempt, message, now):
        runs = self.runs.setdefault(attempt, [])
        runs.append(searcher.id)
        kind = self.route_kinds.get(attempt)
        if message.body != self.bodies.get(attempt, message.body):
            self.record_violation("bodies are passed on unchanged", attempt)
        if kind == "book" and len(runs) > 1:
            self.record_violation("a booking runs at most once", attempt)
        self.check_upstreams(attempt, kind, searcher)
        self.versions.check_run(searcher, attempt, now)
        if attempt in self.refused_attempts:
            self.record_violation("a request reported as not run did not run",
                                  f"{attempt} ran at {searcher.id}")
        wanted = {"search": "shard", "pull": "archive", "book": "archive",
                  "once": "archive"}
        if not searcher.service.startswith(wanted.get(kind, "")):
            self.record_violation("requests reach the service of their route",
                                  f"{attempt} at {searcher.service}")

    def check_upstreams(self, attempt, kind, searcher):
        asked = self.services.setdefault((attempt, searcher.service), set())
        asked.add(searcher.id)
        counted = {each for each in asked if each not in self.leaving}
        if len(counted) > MAX_UPSTREAMS.get(kind, 2):
            self.record_violation("no more upstreams than the route allows",
                                  f"{attempt} at {sorted(asked)}")

    def check_answer(self, attempt, kind, message, searchers):
        status = self.statuses[attempt] = message.status
        self.count(f"{kind} {status}")
        self.versions.check_answer(attempt, message)
        if status in (429, 503, 408, 421):
            self.refused_attempts.add(attempt)
            if kind == "book" and self.runs.get(attempt):
                self.record_violation(
                    "a request reported as not run did not run", attempt)
        elif status == 200 and kind == "search":
            self.check_merged(attempt, message, searchers)
        elif status == 200:
            self.check_relayed(attempt, message, searchers)

    def record_passed_on(self, searcher, attempt):
        self.notices.passed_on(searcher, self.senders.get(attempt), attempt,
                               asyncio.get_running_loop().time())

    def check_relayed(self, attempt, message, searchers):
        stamp = message.get("papayaglade-server-stamp")
        for each in searchers.values():
            if stamp == stamp_of(each.id, attempt):
                self.record_passed_on(each, attempt)
                if message.body != records_of(each.id, attempt):
                    self.record_violation("answers are complete", attempt)
                return
        self.record_violation("answers belong to their request", attempt)

    def check_merged(self, attempt, message, searchers, top=5, min_share=.75):
        stamps = [s.strip() for s in
                  message.get("papayaglade-part-stamps").split(",")]
        missing = int(message.get("papayaglade-missing-parts", "0"))
        owners = {stamp_of(s.id, attempt): s for s in searchers.values()}
        parts = [owners.get(s) for s in stamps]
        if None in parts:
            return self.record_violation("parts belong to their request",
                                         attempt)
        for each in parts:
            self.record_passed_on(each, attempt)
        services = [p.service for p in parts]
        sets = [s for s in self.shard_sets if set(services) <= set(s)
                and len(services) + missing == len(s)]
        if len(set(services)) != len(services) or not sets:
            self.record_violation(
                "parts are of one version, the coverage is true",
                f"{attempt} {services} missing {missing}")
        elif len(services) < min_share * len(sets[0]):
            self.record_violation("the minimum coverage is met", attempt)
        records = b"".join(records_of(p.id, attempt) for p in parts)
        cut = sorted((records[i:i + RECORD_BYTES]
                      for i in range(0, len(records), RECORD_BYTES)),
                     reverse=True)
        if message.body != b"".join(cut[:top]):
            self.record_violation("a merged answer has the greatest records",
                                  attempt)
