"""Leases on duties that one host at most carries out."""

from bankrudder.leases._duty import repeat_on_duty
from bankrudder.leases._lease import CANDIDATES, LEASES_TABLE, Lease, LeaseRow

__all__ = ["CANDIDATES", "LEASES_TABLE", "Lease", "LeaseRow", "repeat_on_duty"]
