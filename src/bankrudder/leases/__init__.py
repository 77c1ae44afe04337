"""Leases on duties that at most one host carries out at a time."""

from bankrudder.leases._duty import repeat_on_duty
from bankrudder.leases._lease import CANDIDATE_COUNT, LEASES_TABLE, Lease, LeaseRow

__all__ = ["CANDIDATE_COUNT", "LEASES_TABLE", "Lease", "LeaseRow", "repeat_on_duty"]
