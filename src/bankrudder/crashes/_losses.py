"""The lost requests of this host for which a crash is not decided yet."""

from collections.abc import Iterator

import msgspec

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._evidence import Evidence
from bankrudder.crashes._values import Send
from bankrudder.fleet import EndpointRun, TrackedEndpoint

MAX_OPEN_LOSSES = 1000
"""Maximum number of losses that are rechecked; the oldest are discarded."""


class Loss(msgspec.Struct, eq=False):
    """A request that got no answer from its endpoint, at monotonic time ``lost_at``."""

    send: Send
    lost_at: float
    evidence: Evidence = Evidence.OPEN

    @property
    def content(self) -> ContentId:
        return self.send.content

    @property
    def target(self) -> TrackedEndpoint:
        return self.send.target

    @property
    def is_decided(self) -> bool:
        return self.evidence in (Evidence.ENDED, Evidence.LIVES)


class OpenLosses:
    """A bounded collection of losses by content, which evicts the oldest contents."""

    def __init__(self) -> None:
        self._losses: dict[ContentId, list[Loss]] = {}
        self._count = 0

    def __iter__(self) -> Iterator[Loss]:
        """Yield all losses; the collection may be changed meanwhile."""
        for content in list(self._losses):
            yield from self.of(content)

    def of(self, content: ContentId) -> list[Loss]:
        """Return the losses of a content."""
        return list(self._losses.get(content, ()))

    def has(self, content: ContentId, run: EndpointRun) -> bool:
        """Whether there is a loss of the content at this run."""
        return any(each.target.run == run for each in self.of(content))

    def add(self, loss: Loss) -> list[Loss]:
        """Add a loss; return the losses that were evicted for it."""
        self._losses.setdefault(loss.content, []).append(loss)
        self._count += 1
        if self._count <= MAX_OPEN_LOSSES:
            return []
        return self.clear(next(iter(self._losses)))

    def discard(self, loss: Loss) -> None:
        """Remove a loss if it is present."""
        losses = self._losses.get(loss.content, [])
        if loss not in losses:
            return
        losses.remove(loss)
        self._count -= 1
        if not losses:
            del self._losses[loss.content]

    def clear(self, content: ContentId) -> list[Loss]:
        """Remove the losses of a content and return them."""
        losses = self._losses.pop(content, [])
        self._count -= len(losses)
        return losses
