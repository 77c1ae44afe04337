"""Heartbeats of the hosts, and each host's view of which other hosts are alive."""

from bankrudder.presence._cleaning import CLEANING_PAUSE_S, HostCleaner
from bankrudder.presence._hosts import Presence
from bankrudder.presence._rendezvous import RendezvousOrder, rendezvous_hash
from bankrudder.presence._values import HOSTS_TABLE, NO_ADDRESS, Heartbeat, Lifetime

__all__ = [
    "CLEANING_PAUSE_S",
    "HOSTS_TABLE",
    "Heartbeat",
    "HostCleaner",
    "Lifetime",
    "NO_ADDRESS",
    "Presence",
    "RendezvousOrder",
    "rendezvous_hash",
]
