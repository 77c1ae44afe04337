"""Authentication of callers.

A caller is identified by its bearer token only, never by a field of the request.
"""

import hashlib

from bankrudder.config import ConfigurationIndex
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.rpc._types import ServicerContext
from bankrudder.wire import AUTHORIZATION_KEY, BEARER_PREFIX, DATA_CLASS_KEY
from bankrudder.world import Caller, CallerRole, DataClassName


def token_hash(token: str) -> str:
    """Return the hexadecimal SHA-256 of a token, as the configuration holds it."""
    return hashlib.sha256(token.encode()).hexdigest()


def metadata_value(context: ServicerContext, key: str) -> str:
    """Return a metadata value of the call, empty if it is missing."""
    for name, value in context.invocation_metadata() or ():
        if name == key:
            return value if isinstance(value, str) else ""
    return ""


def bearer_hash(context: ServicerContext) -> str:
    """Return the hash of the call's bearer token, empty if it has none."""
    header = metadata_value(context, AUTHORIZATION_KEY)
    if not header.startswith(BEARER_PREFIX):
        return ""
    return token_hash(header.removeprefix(BEARER_PREFIX))


def authenticate(context: ServicerContext, index: ConfigurationIndex) -> Caller:
    """Return the caller whose token the call carries.

    Raises
    ------
    InvalidError
        If the token is missing or belongs to no caller.
    """
    digest = bearer_hash(context)
    if not digest:
        raise InvalidError(
            FailureReason.UNAUTHENTICATED,
            "the bearer token is missing",
            field=AUTHORIZATION_KEY,
        )
    caller = index.caller_by_token_hash(digest)
    if caller is None:
        raise InvalidError(
            FailureReason.UNAUTHENTICATED,
            "the token belongs to no caller",
            field=AUTHORIZATION_KEY,
        )
    return caller


def require_role(caller: Caller, role: CallerRole) -> None:
    """Raise `InvalidError` unless `caller` has `role`."""
    if role not in caller.roles:
        raise InvalidError(
            FailureReason.NOT_ALLOWED, f"{caller.name} lacks the role {role.value}"
        )


def data_class_of(context: ServicerContext, caller: Caller) -> DataClassName:
    """Return the data class that the call names.

    The default is the caller's data class, if it has exactly one.
    """
    data_class = metadata_value(context, DATA_CLASS_KEY)
    if data_class:
        return DataClassName(data_class)
    if len(caller.data_classes) == 1:
        return caller.data_classes[0]
    raise InvalidError(
        FailureReason.UNKNOWN_DATA_CLASS,
        "the call must name one of the caller's data classes",
        field=DATA_CLASS_KEY,
    )
