"""Sends single queries and open-loop loads, and keeps every answer."""

import http.client
import itertools
import json
import queue
import select
import threading
import time
from dataclasses import dataclass, field

DEFAULT_WORKERS = 32
ANSWER_TIMEOUT_S = 15


@dataclass
class Answer:
    load: str
    request_id: str
    workload: str
    query: str
    instance: str = ""
    key: str = ""
    sent_s: float = 0
    seconds: float = 0
    status: int = 0  # 0 if the connection broke before the response
    body: dict = field(default_factory=dict)
    error: str = ""

    @property
    def outcome(self):
        return self.body.get("outcome", "cut_off")

    @property
    def account(self):
        return self.body.get("account", {})

    @property
    def coverage(self):
        return self.account.get("coverage", 0)


class Callers:
    def __init__(self, system):
        self.system = system
        self.answers = []
        self.loads = {}
        self.request_numbers = itertools.count(1)
        self.round_robin = itertools.count()

    def send_query(self, workload, options, load="query", connections=None,
                   intended_s=None):
        number = next(self.request_numbers)
        key = options.get("key", "")
        if options.get("keyed"):
            key = f"{load}-{number}"
        request_id = options.get("id", f"{load}-{number}")
        query = options.get("query", f"q-{key or request_id}")
        answer = Answer(load, request_id, workload, query, key=str(key))
        body = {"workload": workload, "query": query, "caller": load,
                "request_id": request_id}
        if key:
            body["request_key"] = answer.key
        for name in ("deadline_ms", "minimum_coverage"):
            if name in options:
                body[name] = options[name]
        answer.sent_s = intended_s or time.monotonic()
        self.send(answer, json.dumps(body), options.get("at"),
                  {} if connections is None else connections)
        answer.seconds = time.monotonic() - answer.sent_s
        self.answers.append(answer)
        return answer

    def send(self, answer, body, at, connections):
        """Sends the request to the first instance that accepts a connection.

        Nothing has been sent when a connection is refused, so the next
        instance is tried, as a load balancer does."""
        for instance in self.candidate_instances(at):
            answer.instance = instance
            reused = self.reusable(connections.pop(instance, None))
            try:
                connection = reused or self.connect(instance)
                connection.request("POST", "/query", body)
                response = connection.getresponse()
                answer.status = response.status
                answer.body = json.loads(response.read())
                answer.error = ""
                if not response.will_close:
                    connections[instance] = connection
                return
            except ConnectionRefusedError as failed:
                answer.error = str(failed)
            except (OSError, http.client.HTTPException, ValueError) as failed:
                answer.error = f"{type(failed).__name__}: {failed}"
                return

    @staticmethod
    def reusable(connection):
        """Returns the kept-alive connection, or None if the instance closed
        it after the last response.

        A client does not send on a connection that it knows to be closed, and
        nothing of this request has been sent at this point."""
        if connection is None or connection.sock is None:
            return None
        readable, _, _ = select.select([connection.sock], [], [], 0)
        if not readable:
            return connection
        connection.close()
        return None

    def connect(self, instance):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.system.port(f"callers/{instance}"),
            timeout=ANSWER_TIMEOUT_S)
        connection.connect()
        return connection

    def candidate_instances(self, at):
        if at:
            return at if isinstance(at, list) else [at]
        ready = sorted(self.system.ready_instances)
        if not ready:
            return sorted(self.system.topology.instances)[:1]
        offset = next(self.round_robin) % len(ready)
        return ready[offset:] + ready[:offset]

    def start_load(self, name, workload, options):
        self.loads[name] = Load(self, name, workload, options)

    def end_load(self, name):
        load = self.loads.pop(name, None)
        if load is not None:
            load.end()

    def end_all(self):
        for name in list(self.loads):
            self.end_load(name)

    def answers_of_load(self, name, since_s=0):
        return [each for each in self.answers
                if each.load == name and each.sent_s >= since_s]


class Load:
    """Sends requests at a fixed rate, independent of the answers."""

    def __init__(self, callers, name, workload, options):
        self.callers = callers
        self.name = name
        self.workload = workload
        self.options = options
        self.due_times = queue.SimpleQueue()
        self.stopping = threading.Event()
        count = options.get("workers", DEFAULT_WORKERS)
        self.threads = [threading.Thread(target=self.run_worker, daemon=True)
                        for _ in range(count)]
        self.threads.append(
            threading.Thread(target=self.schedule_requests, daemon=True))
        for thread in self.threads:
            thread.start()

    def schedule_requests(self):
        period = 1 / self.options.get("rate", 50)
        next_due = time.monotonic()
        while not self.stopping.is_set():
            self.due_times.put(next_due)
            next_due += period
            time.sleep(max(0, next_due - time.monotonic()))
        for _ in self.threads:
            self.due_times.put(None)

    def run_worker(self):
        connections = {}
        while (intended_s := self.due_times.get()) is not None:
            self.callers.send_query(self.workload, self.options, self.name,
                                    connections, intended_s)

    def end(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
