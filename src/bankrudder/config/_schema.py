"""JSON Schemas of the settings and configuration documents."""

import msgspec


def published_schema(kind: type) -> bytes:
    """Return the JSON Schema of `kind`, formatted as in ``docs/schema``."""
    encoded = msgspec.json.encode(msgspec.json.schema(kind), order="sorted")
    return msgspec.json.format(encoded, indent=2) + b"\n"
