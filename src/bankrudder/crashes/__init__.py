"""Requests under which endpoints end, told apart by what they ask."""

from bankrudder.crashes._content import ContentId, content_id

__all__ = ["ContentId", "content_id"]
