"""The error that ends a scenario."""


class Failure(Exception):
    """A line did not hold: what it expected and what was seen."""

    def __init__(self, expected, seen):
        super().__init__(f"expected {expected}; seen {seen}")
        self.expected = expected
        self.seen = seen
