"""Decoding of JSON documents, with errors that name the field and its wrong value."""

import re
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from bankrudder.decoding import DECODE_ERRORS
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason

MAX_SHOWN_CHARS = 60
"""Longest excerpt of a wrong value that an error quotes."""

_AT_PATH = re.compile(r"^(?P<what>.*) - at `\$(?P<path>.*)`$", re.DOTALL)
_FIELD_NAME = re.compile(r"(?:unknown|required) field `(?P<name>[^`]*)`")
_PATH_STEP = re.compile(r"\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]")

ValueT = TypeVar("ValueT")


def decode_document(data: bytes, kind: type[ValueT]) -> ValueT:
    """Decode JSON into a struct.

    Raises
    ------
    InvalidError
        If `data` is not JSON or does not match `kind`; the error names the field,
        its value and the allowed values.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise _wrong_field(_parsed(data), kind, str(error)) from error
    except DECODE_ERRORS as error:
        raise _not_json(error) from error


def json_excerpt(value: object) -> str:
    """Return `value` as JSON, cut to `MAX_SHOWN_CHARS` characters."""
    text = msgspec.json.encode(value).decode()
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return text[:MAX_SHOWN_CHARS] + "..."


def _parsed(data: bytes) -> Any:
    """Decode the whole document without a schema.

    The typed decoder stops at the first wrong field; the rest may not be JSON.
    """
    try:
        return msgspec.json.decode(data)
    except DECODE_ERRORS as error:
        raise _not_json(error) from error


def _not_json(error: Exception) -> InvalidError:
    detail = f"not a JSON document: {error}"
    return InvalidError(FailureReason.CONFIGURATION_WRONG, detail)


def _wrong_field(document: Any, kind: type, message: str) -> InvalidError:
    found = _AT_PATH.match(message)
    problem = found["what"] if found else message
    path = found["path"] if found else ""
    field_match = _FIELD_NAME.search(problem)
    if field_match:
        path = f"{path}.{field_match['name']}"
    path_steps = _path_steps(path)
    allowed = sorted(set(_choices_at(inspect.type_info(kind), path_steps)))
    if allowed:
        problem = f"must be one of {', '.join(allowed)}"
    value = _value_at(document, path_steps)
    if value is not msgspec.UNSET:
        problem = f"is {json_excerpt(value)}: {problem}"
    field = path.lstrip(".")
    return InvalidError(
        FailureReason.CONFIGURATION_WRONG, f"{field} {problem}".strip(), field=field
    )


def _path_steps(path: str) -> tuple[str | int, ...]:
    return tuple(
        step["name"] if step["name"] is not None else int(step["index"])
        for step in _PATH_STEP.finditer(path)
    )


def _value_at(document: Any, path_steps: tuple[str | int, ...]) -> Any:
    value = document
    for step in path_steps:
        try:
            value = value[step]
        except (KeyError, IndexError, TypeError):
            return msgspec.UNSET
    return value


def _choices_at(kind: inspect.Type, path_steps: tuple[str | int, ...]) -> Iterator[str]:
    """Yield the values that are allowed for an enumeration or a tag at a path."""
    match kind:
        case inspect.UnionType(types=types):
            for option in types:
                yield from _choices_at(option, path_steps)
        case inspect.EnumType(cls=cls) if not path_steps:
            yield from (str(member.value) for member in cls)
        case inspect.StructType(tag_field=name, tag=tag) if path_steps == (name,):
            yield str(tag)
        case inspect.StructType(fields=fields) if path_steps:
            for field in fields:
                if field.encode_name == path_steps[0]:
                    yield from _choices_at(field.type, path_steps[1:])
        case inspect.VarTupleType(item_type=item) if path_steps:
            yield from _choices_at(item, path_steps[1:])
