"""Authentication and admission of requests, shared by the gRPC services.

Callers and their roles come from the configuration in force.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from bankrudder.config import ConfigurationIndex, ConfigurationService
from bankrudder.exceptions import InvalidError, NotRunError
from bankrudder.failures import FailureReason
from bankrudder.memory import MemoryBudget
from bankrudder.rpc._identity import authenticate, bearer_hash, require_role
from bankrudder.rpc._limits import RequestLimiter
from bankrudder.rpc._types import ServicerContext
from bankrudder.world import (
    Caller,
    CallerClassName,
    CallerName,
    CallerRole,
    PoolName,
    RpcLimits,
)

STOP_RETRY_AFTER_S = 0.1
"""Retry delay for a request that a stopping node refuses: another node can answer it at
once, and the delay limits the attempts of a client that knows no other node."""

_BUILT_IN_OPERATOR = CallerName("operator")
"""Name of the caller that presents the operator token of the node's settings."""


class RpcContext:
    """Authenticates the callers of requests and admits requests within the limits.

    Parameters
    ----------
    configuration : ConfigurationService
        Holds the callers and their token hashes.
    operator_token_sha256 : str
        SHA-256 of the operator token in the node's settings, empty for none. This
        token needs no configuration, so that the first one can be applied.
    limits : RpcLimits, optional
        Limits on the requests in progress; default `RpcLimits` if None.
    budget : MemoryBudget, optional
        Memory for the requests; by default that of a process whose memory is unknown.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        operator_token_sha256: str = "",
        limits: RpcLimits | None = None,
        budget: MemoryBudget | None = None,
    ):
        self._limiter = RequestLimiter(limits or RpcLimits(), budget)
        self._configuration = configuration
        self._operator_token_sha256 = operator_token_sha256
        self._stopping = False

    @property
    def configuration(self) -> ConfigurationService:
        return self._configuration

    @property
    def index(self) -> ConfigurationIndex:
        return self._configuration.index

    def has_pool(self, name: PoolName) -> bool:
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
    def limiter(self) -> RequestLimiter:
        return self._limiter

    def refuse_new_requests(self) -> None:
        """Refuse requests that start new work from now on."""
        self._stopping = True

    def caller_of(self, context: ServicerContext) -> Caller:
        """Return the caller of a request.

        Raises
        ------
        NotRunError
            If this node has no configuration, or one that may be too old.
        InvalidError
            If the token is missing or belongs to no caller.
        """
        return authenticate(context, self._configuration.index)

    @contextmanager
    def admitted(
        self,
        context: ServicerContext,
        size_bytes: int,
        role: CallerRole | None = None,
        *,
        is_new: bool = True,
    ) -> Iterator[Caller]:
        """Admit a request while the block runs, and yield its caller.

        Raises as `caller_of`, and also if the caller lacks `role` or a limit on
        the requests in progress is reached.

        Parameters
        ----------
        is_new : bool
            Whether the request starts new work, which a stopping node refuses
            with reason ``STOPPING``; other requests are still admitted, so that
            open work can be completed.
        """
        if is_new:
            self._check_not_stopping()
        caller = self.caller_of(context)
        if role is not None:
            require_role(caller, role)
        with self._limiter.admit(caller.name, size_bytes):
            yield caller

    def require_operator(self, context: ServicerContext) -> Caller:
        """Return the caller of a request if it is an operator.

        Raises
        ------
        InvalidError
            If the token is missing or belongs to no operator.
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

    def _check_not_stopping(self) -> None:
        if self._stopping:
            raise NotRunError(
                FailureReason.STOPPING,
                "this node is stopping",
                retry_after_s=STOP_RETRY_AFTER_S,
            )

    def _holds_operator_token(self, context: ServicerContext) -> bool:
        operator_hash = self._operator_token_sha256
        return bool(operator_hash) and bearer_hash(context) == operator_hash
