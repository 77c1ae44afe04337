"""Which hosts of the system run."""

from bankrudder.presence._hosts import (
    HOSTS_TABLE,
    NO_ADDRESS,
    Heartbeat,
    Lifetime,
    Presence,
)

__all__ = ["HOSTS_TABLE", "Heartbeat", "Lifetime", "NO_ADDRESS", "Presence"]
