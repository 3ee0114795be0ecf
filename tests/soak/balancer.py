"""Spreads new connections over the instances as the platform does."""

import asyncio

POLL_INTERVAL_S = 1.0
MISSES_TO_LEAVE = 2


class Balancer:
    def __init__(self, instances, random):
        self.random = random
        self.misses = {each: MISSES_TO_LEAVE for each in instances}

    async def poll(self):
        """Asks each instance once whether it is ready."""
        instances = list(self.misses)
        states = await asyncio.gather(*(each.ready() for each in instances))
        for each, up in zip(instances, states):
            self.misses[each] = 0 if up else self.misses[each] + 1

    def rotation(self):
        return [each for each, n in self.misses.items() if n < MISSES_TO_LEAVE]

    def pick(self, zone):
        """Returns the instance for a new connection from the data centre."""
        rotation = self.rotation()
        near = [each for each in self.misses if each.zone == zone]
        up = [each for each in near if each in rotation]
        if not up:
            return self.random.choice(rotation or near)
        return self.random.choice(up if 2 * len(up) >= len(near) else near)
