"""Checks, after a run of planned stops, that every request got its answer."""

from .instance import SHUTDOWN_TIMEOUT_S

LOSS_SLACK_S = .2
LAST_WORK_SHARE = 5 / 6  # work beyond this share of the grace excuses a cut
EXCUSED_SEND_S = 3.0     # of a request that was sent by then


class Losses:
    """Judges the calls of a ledger whose connections ended without an answer.

    `rule` holds the calls that the users' rule LOST counts, `promise` those
    that reached an upstream and were not answered, whatever the reason. The
    rule holds only while nothing beside the planned work is disturbed.
    """

    def __init__(self, ledger, route_timeout_s, undisturbed):
        self.ledger = ledger
        self.undisturbed = undisturbed
        self.route_timeout_s = route_timeout_s
        self.rule = []
        self.promise = []
        self.unread = []   # reset late, without having been read
        for call in ledger.calls:
            if call.end != "answered":
                self.judge(call)

    def judge(self, call):
        passed_on = call.attempt in self.ledger.arrivals
        late = call.whole and call.end_s > call.sent_s + LOSS_SLACK_S
        read_late = late and call.end in ("closed", "left")
        if passed_on or read_late or call.answer_bytes:
            self.promise.append(call)
        elif late:
            self.unread.append(call)
        if (self.undisturbed and (passed_on or read_late) and call.whole
                and self.around_stop(call) and not self.excused(call)):
            self.rule.append(call)

    def around_stop(self, call):
        term_s = call.lifetime.term_s
        return (call.end != "left" and term_s is not None
                and term_s <= call.end_s <= term_s + SHUTDOWN_TIMEOUT_S + 1)

    def excused(self, call):
        took_s = call.end_s - call.sent_s
        if took_s >= min(call.budget_s, self.route_timeout_s):
            return True
        term_s = call.lifetime.term_s
        if call.sent_s > term_s + EXCUSED_SEND_S:
            return False
        last_s = term_s + LAST_WORK_SHARE * SHUTDOWN_TIMEOUT_S
        return any(start_s <= term_s + SHUTDOWN_TIMEOUT_S
                   and min(end_s, call.end_s) >= last_s
                   for start_s, end_s in
                   self.ledger.work.get(call.attempt, []))

    def describe(self, call):
        life = call.lifetime
        since = ("no SIGTERM" if life.term_s is None else
                 f"{call.sent_s - life.term_s:.2f} s after SIGTERM")
        ran = ("run" if call.attempt in self.ledger.work else "received"
               if call.attempt in self.ledger.arrivals else "not received")
        exited = ("" if life.exit_s is None or life.term_s is None else
                  f", process exited at {life.exit_s - life.term_s:.2f} s")
        return (f"{call.attempt} {call.kind} at {life.name}: sent {since}, "
                f"budget {call.budget_s:.2f} s, {ran} by an upstream, "
                f"{call.end} {call.end_s - call.sent_s:.2f} s later with "
                f"{call.answer_bytes} bytes{exited}")

    def report(self):
        for each in self.rule:
            self.ledger.record_violation("LOST", self.describe(each))
        for each in self.promise:
            self.ledger.record_violation(
                "a request that was accepted gets an answer",
                self.describe(each))
        print(f"calls {len(self.ledger.calls)}, lost by the rule "
              f"{len(self.rule)}, without an answer {len(self.promise)}, "
              f"late and not read {len(self.unread)}")
