"""Numbers of the events of a stream."""

NO_EVENT = -1
"""Stands for the number of the last event before the first one."""

FIRST_NUMBERS = (0, 1)
"""Numbers that the first event of a whole stream may have."""


def follows(number: int, last_number: int) -> bool:
    """Whether an event is the one due after the last event, or the first of all."""
    if last_number == NO_EVENT:
        return number in FIRST_NUMBERS
    return number == last_number + 1
