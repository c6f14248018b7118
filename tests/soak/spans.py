"""Intervals of time in which faults were active."""


class Spans:
    def __init__(self):
        self.spans = []

    def add(self, begin, end):
        self.spans.append((begin, end))

    def is_clear(self, begin, end):
        """Returns whether no fault was active between begin and end."""
        return all(to < begin or at > end for at, to in self.spans)
