"""Bodies are held while they are transferred, and ended only while nothing runs."""

from bankrudder.memory import MemoryBudget, TransferKind
from bankrudder.platform._transfers import holding_request, read_request_body

BODY = bytes(700)


class IncomingBody:
    """A request of a caller, as far as the reading of its body uses it."""

    can_read_body = True
    content_length = len(BODY)

    def __init__(self):
        self.content = self
        self.transport = self
        self.is_aborted = False

    async def iter_any(self):
        yield BODY

    def abort(self):
        self.is_aborted = True


async def test_a_request_that_was_read_is_not_broken_off_for_another_one(manual_clock):
    budget = MemoryBudget(1000, manual_clock, uncounted_bytes=0)
    request = IncomingBody()
    with holding_request(request, budget) as holding:
        assert await read_request_body(request, holding) == BODY
        manual_clock.advance(2.0)
        newer = budget.hold(TransferKind.REQUEST, lambda: 0, lambda: None)
        assert not newer.grow(len(BODY))
        assert not request.is_aborted
        assert budget.held_bytes == len(BODY)
    assert newer.grow(len(BODY))
