"""The exception that ends a scenario as failed."""


class Failure(Exception):
    """Reports what a scenario line expected and what was seen instead."""

    def __init__(self, expected, seen):
        super().__init__(f"expected {expected}; seen {seen}")
        self.expected = expected
        self.seen = seen
