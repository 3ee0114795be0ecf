"""Faults that operators reported, and their like: odd entries, changes and
signals in a row, settings in mid-write, readers of the log that stall, deep
pipelining. None of them excuses a request without an answer."""

import asyncio
import signal

from .http_text import answer, read_whole_message, reset
from .odd_entries import odd_entry
from .ports import free_port
from .store import OUTAGES

PIPELINED = (1000, 5000)
PIPELINE_TIMEOUT_S = 3.0


def request_text(kind, attempt, budget_ms=1000):
    return (f"GET /{kind}/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"Papayaglade-Attempt-Id: {attempt}\r\n"
            f"Papayaglade-Deadline-Ms: {budget_ms}\r\n\r\n").encode()


class OperatorFaults:
    """A mixin of Soak, whose state the faults change."""

    async def odd_entry(self):
        """Leaves an odd entry among those of the upstreams, first or last."""
        name = self.random.choice(["a-odd", "zz-odd"]) + str(free_port())
        valid = self.random.choice(list(self.searchers.values())).entry()
        valid["address"] = f"127.0.0.1:{self.trap_port}"
        await self.store.put_text("servers", name,
                                  odd_entry(valid, self.random))
        await asyncio.sleep(self.random.uniform(.5, 6))
        await self.store.delete("servers", name)

    async def trap(self, reader, writer):
        """Stands at the address of odd entries, which nothing may use."""
        try:
            while True:
                message = await read_whole_message(reader)
                attempt = message.get("papayaglade-attempt-id")
                if attempt:
                    self.ledger.record_violation(
                        "odd entries name no upstream", attempt)
                writer.write(answer(200))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def pipeline(self):
        """Sends thousands of requests at once and leaves after a while."""
        victim = self.random.choice(self.instances)
        kind = self.random.choice(["pull", "once", "search"])
        attempts = [self.new_attempt(kind, victim)
                    for _ in range(self.random.randint(*PIPELINED))]
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", victim.ports["callers"]), 1)
        except (OSError, asyncio.TimeoutError):
            return
        writer.write(b"".join(request_text(kind, each) for each in attempts))
        try:
            async with asyncio.timeout(PIPELINE_TIMEOUT_S):
                for each in attempts:
                    message = await read_whole_message(reader)
                    self.ledger.check_answer(each, kind, message,
                                             self.searchers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        if self.random.random() < .5:
            reset(writer)
        writer.close()

    async def hup_storm(self):
        victim = self.random.choice(self.instances)
        for _ in range(self.random.randint(10, 200)):
            if not victim.settled():
                return
            victim.signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, .02))

    async def rewrite_settings(self):
        """Writes the settings file of an instance in two halves."""
        victim = self.random.choice(self.instances)
        if not victim.settled() or victim.rewriting:
            return
        text = victim.settings_text(indent=self.random.randint(0, 9))
        cut = self.random.randint(0, len(text) - 1)
        victim.rewriting = True
        with open(victim.path, "w") as file:
            file.write(text[:cut])
            file.flush()
            if self.random.random() < .7 and victim.settled():
                victim.signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 1))
            file.write(text[cut:])
        victim.rewriting = False
        if self.random.random() < .5 and victim.settled():
            victim.signal(signal.SIGHUP)

    async def config_storm(self):
        for _ in range(self.random.randint(10, 40)):
            await self.publish()
            await asyncio.sleep(self.random.uniform(0, .1))

    async def stall_log(self):
        pipe = self.random.choice(self.instances).log_pipe
        if pipe is not None:
            pipe.stall()
            await asyncio.sleep(self.random.uniform(.5, 8))
            pipe.resume()

    async def close_log(self):
        pipe = self.random.choice(self.instances).log_pipe
        if pipe is not None:
            pipe.close()

    async def stop_without_store(self):
        """Stops an instance while the store is out and callers press on."""
        victim = self.random.choice(self.instances)
        if not victim.settled() or self.store.outage:
            return
        self.store.outage = self.random.choice(OUTAGES)
        callers = [asyncio.create_task(self.press(victim, victim.lifetime))
                   for _ in range(4)]
        await self.stop_instance(victim)
        self.store.outage = None
        self.store_available_since = self.now()
        await asyncio.gather(*callers)

    async def press(self, victim, lifetime):
        connection = None
        while lifetime.exit_s is None:
            connection = await self.send_request(
                victim, self.random.choice(["search", "pull", "book"]),
                connection)
            await asyncio.sleep(self.random.uniform(0, .2))
