"""What callers and upstreams saw, and the promises judged by it."""

from .searcher import RECORD_BYTES, records_of, stamp_of


# How many upstreams of a service the routes of the soak allow a request.
MOST_UPSTREAMS = {"search": 2, "pull": 2, "book": 1, "once": 1}


class Ledger:
    def __init__(self, drain_s, closed_s):
        self.drain_s = drain_s
        self.closed_s = closed_s
        self.asked = {}         # attempt -> route kind
        self.runs = {}          # attempt -> searcher ids
        self.services = {}      # attempt, service -> searcher ids
        self.refused = set()    # attempts that were told "not run"
        self.leaving = {}       # searcher id -> time of the acknowledgement
        self.closed = {}        # zone -> time of the acknowledgement
        self.shard_sets = []    # every set of shards that was in force
        self.broken = []
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def violate(self, promise, text):
        self.broken.append(f"{promise}: {text}")

    def arrived(self, searcher, attempt, now):
        left = self.leaving.get(searcher.id)
        if left is not None and now > left + self.drain_s:
            self.violate("leaving upstreams get no new work",
                         f"{attempt} at {searcher.id} {now - left:.1f} s later")
        closed = self.closed.get(searcher.zone)
        if closed is not None and now > closed + self.closed_s:
            self.violate("closed data centres get no new work",
                         f"{attempt} at {searcher.id} {now - closed:.1f} s "
                         "later")
        if attempt not in self.asked:
            self.violate("only what callers sent is run", attempt)

    def ran(self, searcher, attempt, message, now):
        runs = self.runs.setdefault(attempt, [])
        runs.append(searcher.id)
        kind = self.asked.get(attempt)
        if kind == "book" and len(runs) > 1:
            self.violate("a booking runs at most once", attempt)
        self.check_upstreams(attempt, kind, searcher)
        if attempt in self.refused:
            self.violate("a refusal is true", f"{attempt} ran at {searcher.id}")
        wanted = {"search": "shard", "pull": "archive", "book": "archive",
                  "once": "archive"}
        if not searcher.service.startswith(wanted.get(kind, "")):
            self.violate("requests go where their route says",
                         f"{attempt} at {searcher.service}")

    def check_upstreams(self, attempt, kind, searcher):
        asked = self.services.setdefault((attempt, searcher.service), set())
        asked.add(searcher.id)
        counted = {each for each in asked if each not in self.leaving}
        if len(counted) > MOST_UPSTREAMS.get(kind, 2):
            self.violate("no more upstreams than the route allows",
                         f"{attempt} at {sorted(asked)}")

    def answered(self, attempt, kind, message, searchers):
        status = int(message.start.split(" ")[1])
        self.count(f"{kind} {status}")
        if status in (429, 503, 408, 421):
            self.refused.add(attempt)
            if kind == "book" and self.runs.get(attempt):
                self.violate("a refusal is true", attempt)
        elif status == 200 and kind == "search":
            self.check_merged(attempt, message, searchers)
        elif status == 200:
            self.check_relayed(attempt, message, searchers)

    def check_relayed(self, attempt, message, searchers):
        stamp = message.get("papayaglade-server-stamp")
        for each in searchers.values():
            if stamp == stamp_of(each.id, attempt):
                if message.body != records_of(each.id, attempt):
                    self.violate("answers are whole", attempt)
                return
        self.violate("answers belong to their request", attempt)

    def check_merged(self, attempt, message, searchers, top=5, least=.75):
        stamps = [s.strip() for s in
                  message.get("papayaglade-part-stamps").split(",")]
        missing = int(message.get("papayaglade-missing-parts", "0"))
        owners = {stamp_of(s.id, attempt): s for s in searchers.values()}
        parts = [owners.get(s) for s in stamps]
        if None in parts:
            return self.violate("parts belong to their request", attempt)
        services = [p.service for p in parts]
        sets = [s for s in self.shard_sets if set(services) <= set(s)
                and len(services) + missing == len(s)]
        if len(set(services)) != len(services) or not sets:
            self.violate("parts are of one version, the coverage is true",
                         f"{attempt} {services} missing {missing}")
        elif len(services) < least * len(sets[0]):
            self.violate("the least coverage is kept", attempt)
        records = b"".join(records_of(p.id, attempt) for p in parts)
        cut = sorted((records[i:i + RECORD_BYTES]
                      for i in range(0, len(records), RECORD_BYTES)),
                     reverse=True)
        if message.body != b"".join(cut[:top]):
            self.violate("the greatest records are given", attempt)
