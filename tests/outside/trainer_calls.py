"""Requests of trainers in the platform's format, shared by all tests."""

from typing import NamedTuple


class Call(NamedTuple):
    """A request; its fields are the arguments of `Site.call` after the host."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] | None = None

    def with_key(self, key: str) -> "Call":
        """Return the call with a workspace's API key; unchanged if the key is empty."""
        if not key:
            return self
        credentials = {"Authorization": f"Bearer {key}"}
        return self._replace(headers={**(self.headers or {}), **credentials})


def submission(batch_id: str, body: bytes) -> Call:
    """Return the call that submits a batch."""
    return Call("POST", "/rollout/all", body, {"X-Request-Id": batch_id})


def reading(batch_id: str, after: int = 0, wait_ms: int = 0) -> Call:
    """Return the call that reads results, starting at a position."""
    headers = {"X-Max-Wait": str(wait_ms)}
    return Call("GET", f"/bankrudder/lots/{batch_id}?after={after}", b"", headers)


def sample_body(batch_id: str, sample_id: str) -> Call:
    """Return the call that reads the body of a sample."""
    return Call("GET", f"/bankrudder/items/{batch_id}?id={sample_id}")


def ending(batch_id: str) -> Call:
    """Return the call that ends a batch."""
    return Call("DELETE", f"/bankrudder/lots/{batch_id}")
