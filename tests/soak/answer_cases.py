"""Cases in which an upstream sends bytes that are no answer."""

from .case_tier import ObedientSearcher
from .http_text import answer


class OddSearcher(ObedientSearcher):
    """Answers every request with the status 000, which no answer can have."""

    async def exchange(self, message, writer):
        text = answer(200, b"r" * 16, self.stamps(
            message.get("papayaglade-attempt-id")))
        writer.write(text.replace(b" 200 ", b" 000 ", 1))
        return True


async def replace(tier, kind, service="archive"):
    """Puts a searcher of another kind in the place of a service's."""
    old = tier.searchers[service]
    await old.crash()
    odd = kind(old.id, old.service, old.zone, old.port, 0, tier.ledger,
               slots=200)
    await odd.start()
    tier.searchers[service] = odd
    return odd


async def status_000(tier):
    """Guards against MIXED: a status that no answer can have reaches a
    caller. It gets 502, also where the upstream states that it is its
    answer."""
    await tier.start()
    await replace(tier, OddSearcher)
    seen = []
    for route, method in (("pull", "GET"), ("book", "POST"), ("pull", "HEAD"),
                          ("search", "GET")):
        reader, writer = await tier.connect()
        writer.write(tier.request(route=route, method=method,
                                  budget_ms=1000))
        line = await reader.readline()
        seen.append(line.split(b" ")[1].decode())
        writer.close()
    return all(each in ("502", "504") for each in seen), seen


ANSWER_CASES = [status_000]
