"""What the services share: who calls, by the configuration now in force."""

from collections.abc import Iterator
from contextlib import contextmanager

from bankrudder.config import ConfigurationIndex, ConfigurationService
from bankrudder.exceptions import InvalidError, NotRunError
from bankrudder.failures import FailureReason
from bankrudder.rpc._identity import authenticate, bearer_hash, require_role
from bankrudder.rpc._limits import HeldRequests
from bankrudder.rpc._types import ServicerContext
from bankrudder.world import (
    Caller,
    CallerClassName,
    CallerName,
    CallerRole,
    PoolName,
    RpcLimits,
)

RETRY_AFTER_S = 1.0

_BUILT_IN_OPERATOR = CallerName("operator")


class RpcContext:
    """Finds the caller of a call.

    Parameters
    ----------
    configuration : ConfigurationService
        Holds the callers and their token hashes.
    operator_token_sha256 : str
        Hash of the token from the node's settings that may always operate, so
        that the first configuration can be applied; empty for none.
    limits : RpcLimits, optional
        Bounds on what callers make this node hold.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        operator_token_sha256: str = "",
        limits: RpcLimits | None = None,
    ):
        self._held = HeldRequests(limits or RpcLimits())
        self._configuration = configuration
        self._operator_token_sha256 = operator_token_sha256
        self._stopping = False

    @property
    def configuration(self) -> ConfigurationService:
        return self._configuration

    @property
    def index(self) -> ConfigurationIndex:
        return self._configuration.index

    def knows_pool(self, name: PoolName) -> bool:
        """Return whether the configuration in force has the pool."""
        try:
            self._configuration.known_index.pool(name)
        except InvalidError:
            return False
        return True

    @property
    def stopping(self) -> bool:
        return self._stopping

    @property
    def held(self) -> HeldRequests:
        return self._held

    def stop_taking(self) -> None:
        """Refuse calls from now on."""
        self._stopping = True

    def caller_of(self, context: ServicerContext) -> Caller:
        """Return the caller of a call.

        Raises
        ------
        NotRunError
            If this node has no configuration, or one that may be too old.
        InvalidError
            If the token is missing or belongs to nobody.
        """
        return authenticate(context, self._configuration.index)

    @contextmanager
    def admitted(
        self,
        context: ServicerContext,
        size: int,
        role: CallerRole | None = None,
        *,
        is_new: bool = True,
    ) -> Iterator[Caller]:
        """Lend the caller of a request of `size` bytes while it is in progress.

        Raises as `caller_of`, and if the caller lacks `role` or a bound on what
        this node holds is reached.

        Parameters
        ----------
        is_new : bool
            Whether the request begins something, which a stopping node refuses
            as ``STOPPING``; what ends something open is still taken.
        """
        if is_new:
            self._check_taking()
        caller = self.caller_of(context)
        if role is not None:
            require_role(caller, role)
        with self._held.holding(caller.name, size):
            yield caller

    def operator_of(self, context: ServicerContext) -> Caller:
        """Return the operator who calls.

        Raises
        ------
        InvalidError
            If the token belongs to nobody who may operate.
        """
        if self._holds_operator_token(context):
            return Caller(
                _BUILT_IN_OPERATOR,
                CallerClassName(""),
                self._operator_token_sha256,
                (),
                (CallerRole.OPERATOR,),
            )
        caller = authenticate(context, self._configuration.known_index)
        require_role(caller, CallerRole.OPERATOR)
        return caller

    def _check_taking(self) -> None:
        if self._stopping:
            raise NotRunError(
                FailureReason.STOPPING,
                "this node is stopping",
                retry_after_s=RETRY_AFTER_S,
            )

    def _holds_operator_token(self, context: ServicerContext) -> bool:
        operator_hash = self._operator_token_sha256
        return bool(operator_hash) and bearer_hash(context) == operator_hash
