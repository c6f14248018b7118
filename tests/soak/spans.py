"""Times at which something was harmed."""


class Spans:
    def __init__(self):
        self.spans = []

    def add(self, begin, end):
        self.spans.append((begin, end))

    def is_clear(self, begin, end):
        """True if nothing was harmed at any moment from begin to end."""
        return all(to < begin or at > end for at, to in self.spans)
