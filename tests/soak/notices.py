"""What searchers say about themselves in their answers: that they leave, or
that they want nothing for some time. Faults that make them say it, and a check
of what reaches them afterwards."""

import asyncio

# Requests that are on their way when a pause begins.
PAUSE_SLACK_S = 0.5
PAUSE_ALLOWANCE = 2
# An instance may have ended an attempt before it read the refusal.
UNHEARD_REFUSALS = 2
REPUBLISH_INTERVAL_S = 0.5
RUBBISH = ["soon", "-5", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT", ""]


class Notices:
    """Records what searchers said to each process of an instance, and checks
    the requests that reach them later."""

    def __init__(self, drain_timeout_s, sent_s, record_violation):
        self.drain_timeout_s = drain_timeout_s
        self.sent_s = sent_s  # attempt -> time at which its caller sent it
        self.concerned = set()  # searchers that have said something
        self.record_violation = record_violation
        self.told = {}     # attempt, searcher -> instance that it told
        self.leaving = {}  # searcher, process -> since when that one knows
        self.refusals = {}  # searcher, process -> refusals that said so
        self.pauses = {}   # searcher, process -> (from, until)
        self.early = {}    # searcher, process -> arrivals within the pause

    @staticmethod
    def key(searcher, instance):
        return searcher.id, searcher.born, id(instance.lifetime)

    def concerns(self, searcher):
        return searcher.id in self.concerned

    def answers_leaving(self, searcher, instance, attempt):
        """An answer says that its searcher leaves. Whether the instance reads
        it shows once a caller gets it."""
        self.concerned.add(searcher.id)
        self.told[attempt, searcher.id] = instance

    def refuses_leaving(self, searcher, instance, now):
        self.concerned.add(searcher.id)
        if instance is None:
            return
        key = self.key(searcher, instance)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        if self.refusals[key] > UNHEARD_REFUSALS:
            self.leaving.setdefault(key, now)

    def passed_on(self, searcher, instance, attempt, now):
        """A caller has got the searcher's answer from an instance, which may
        have it from another one."""
        if (attempt, searcher.id) not in self.told or not searcher.announces:
            return
        for each in (instance, self.told[attempt, searcher.id]):
            if each is not None:
                self.leaving.setdefault(self.key(searcher, each), now)

    def asked_for_pause(self, searcher, instance, now, seconds):
        self.concerned.add(searcher.id)
        if instance is None:
            return
        key = self.key(searcher, instance)
        begin, until = self.pauses.get(key, (now + PAUSE_SLACK_S, 0))
        if now > until:
            begin, self.early[key] = now + PAUSE_SLACK_S, 0
        self.pauses[key] = begin, max(until, now + seconds)

    def arrived(self, searcher, instance, attempt, now):
        if instance is None:
            return
        sent_s = self.sent_s.get(attempt, now)
        key = self.key(searcher, instance)
        said_s = self.leaving.get(key)
        if (said_s is not None and sent_s > said_s + self.drain_timeout_s
                and instance.woken_s < said_s):
            self.record_violation(
                "upstreams that say they leave get no new work",
                f"{attempt} at {searcher.id} from {instance.name} "
                f"{now - said_s:.1f} s later")
        begin, until = self.pauses.get(key, (0, 0))
        if begin < now < until and instance.woken_s < begin - PAUSE_SLACK_S:
            self.early[key] = self.early.get(key, 0) + 1
            if self.early[key] > PAUSE_ALLOWANCE:
                self.record_violation(
                    "upstreams that ask for a pause get nothing in it",
                    f"{attempt} at {searcher.id} from {instance.name} "
                    f"{until - now:.1f} s before its end")


class NoticeFaults:
    """A mixin of Soak, whose state the faults change."""

    async def announce_leaving(self):
        """Searchers say that they leave, while their entries say that they are
        ready and change; then another process takes their place."""
        service = self.random.choice([*self.shards, "archive"])
        victims = [each for each in self.searchers.values()
                   if each.service == service and not each.announces
                   and each.id not in self.ledger.leaving]
        if service == "archive":
            victims = victims[:len(victims) // 2]
        elif self.random.random() < .7:
            victims = victims[:1]
        for each in victims:
            each.announces = True
        end = self.now() + self.drain_timeout_s + self.random.uniform(2, 4)
        while self.now() < end:
            await asyncio.sleep(REPUBLISH_INTERVAL_S)
            for each in victims:
                each.sequence += 1
                await self.put_ready(each)
        for each in victims:
            each.announces = False
            if not each.leaves:
                each.born += 1
            await self.put_ready(each)

    async def put_ready(self, searcher):
        """Writes the entry of a searcher, unless that one leaves by its entry
        meanwhile."""
        if not searcher.leaves:
            await self.store.put("servers", searcher.id, searcher.entry())

    async def turn_away(self):
        """Searchers turn requests away and name a time to come back, or
        something that is no time."""
        services = self.random.sample([*self.shards, "archive"], 3)
        victims = [each for each in self.searchers.values()
                   if each.service in services
                   and each.retry_after is None]
        if self.random.random() < .6:
            victims = self.random.sample(victims, len(victims) // 2)
        for each in victims:
            each.retry_after = self.random.choice(
                [.8, 1.5, 2, 3.25, self.random.choice(RUBBISH)])
        await asyncio.sleep(self.random.uniform(.5, 4))
        for each in victims:
            each.retry_after = None
