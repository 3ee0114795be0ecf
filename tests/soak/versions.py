"""Which versions of the configuration each request was handled by, judged by the
users' rules CONFIG, DENIED and ROUTE."""

import bisect
import dataclasses
import math

from .instance import Instance, Lifetime

IN_FORCE_TIMEOUT_S = 3.0
ROLLBACK_SLACK_S = 1.0
FROZEN_ROLLBACK_SLACK_S = 8 * ROLLBACK_SLACK_S
PROMISES = {408, 421, 429}  # refusals that DENIED leaves out


@dataclasses.dataclass
class Version:
    number: int
    routes: dict  # name -> names of the services that it allows
    sent_s: float
    acked_s: float = math.inf


@dataclasses.dataclass
class Request:
    attempt: str
    route: str
    instance: Instance | None  # that took it, if known
    lifetime: Lifetime | None
    sent_s: float

    def at(self):
        if self.instance is None:
            return "an instance"
        return self.instance.name

    def of_one_process(self):
        return (self.instance is not None
                and self.instance.lifetime is self.lifetime)


class Versions:
    """What the operator has written, and what it allows."""

    def __init__(self, in_touch, record_violation):
        self.in_touch = in_touch  # of the instance that took a request
        self.record_violation = record_violation
        self.versions = []
        self.first_allowed = {}  # route, service -> index of a version
        self.requests = {}       # attempt -> request
        self.judged = 0          # requests of which a handling was in touch

    def violated(self, rule, request, text):
        program = request.lifetime.by_program() if request.lifetime else ""
        self.record_violation(
            rule + program,
            f"{request.attempt} {request.route} at {request.at()}: {text}")

    def send(self, number, routes, now):
        """Records a version that is about to be written."""
        version = Version(number, routes, now)
        for route, services in routes.items():
            for each in services:
                self.first_allowed.setdefault((route, each),
                                              len(self.versions))
        self.versions.append(version)
        return version

    def add(self, attempt, route, instance, now):
        self.requests[attempt] = Request(
            attempt, route, instance, instance and instance.lifetime, now)

    def touched(self, request):
        return request.instance is not None and self.in_touch(request)

    def in_force_since(self, sent_s):
        """Returns the versions that may be in force for a request: those that
        none replaces whose acknowledgement is older than the timeout."""
        acked = bisect.bisect_left(self.versions, sent_s - IN_FORCE_TIMEOUT_S,
                                   key=lambda each: each.acked_s)
        return self.versions[max(0, acked - 1):]

    def check_run(self, searcher, attempt, now):
        request, service = self.requests.get(attempt), searcher.service
        if request is None:
            return
        first = self.first_allowed.get((request.route, service))
        if first is None:
            return self.violated("ROUTE", request, f"run by {service}")
        self.check_handling(
            request, f"run by {service}",
            lambda version: service in version.routes.get(request.route, ()))
        effects = request.lifetime and request.lifetime.effects
        if request.of_one_process() and (
                not effects or first > effects[-1][0]):
            effects.append((first, now))

    def check_answer(self, attempt, message):
        request, status = self.requests.get(attempt), message.status
        ours = not message.get("papayaglade-server-stamp")
        if request is None or not ours:
            return
        if 300 <= status < 500 and status not in PROMISES:
            self.check_denied(request, status)
        if status == 404:
            self.check_handling(
                request, "404",
                lambda version: request.route not in version.routes)

    def check_denied(self, request, status):
        in_touch = self.touched(request)
        versions = (self.in_force_since(request.sent_s) if in_touch
                    else self.versions)
        if all(request.route in each.routes for each in versions):
            self.violated(
                "DENIED", request, f"{status}, allowed by versions "
                f"{versions[0].number} to {versions[-1].number}, "
                + ("in touch" if in_touch else "not in touch"))

    def check_handling(self, request, how, allows):
        """Checks a handling that some versions allow."""
        if self.touched(request):
            self.judged += 1
            versions = self.in_force_since(request.sent_s)
            if not any(map(allows, versions)):
                late_s = request.sent_s - versions[0].acked_s
                self.violated(
                    "CONFIG", request, f"{how}, sent {late_s:.2f} s after "
                    f"version {versions[0].number} was acknowledged")
        if request.of_one_process():
            self.check_regress(request, how, allows)

    def check_regress(self, request, how, allows):
        instance = request.instance
        for index, seen_s in reversed(request.lifetime.effects):
            slowed = instance.frozen or instance.woken_s >= seen_s
            slack_s = FROZEN_ROLLBACK_SLACK_S if slowed else ROLLBACK_SLACK_S
            if request.sent_s <= seen_s + slack_s:
                continue
            if not any(map(allows, self.versions[index:])):
                self.violated(
                    "CONFIG, a regress", request, f"{how}, sent "
                    f"{request.sent_s - seen_s:.2f} s after version "
                    f"{self.versions[index].number} was seen")
            return
