"""Calls of trainers that name a batch: results, bodies of samples, and the end."""

from aiohttp import web

from bankrudder.batches import BatchId
from bankrudder.decoding import decode_decimal
from bankrudder.node import Gateway
from bankrudder.platform import _names as names
from bankrudder.platform._batch_documents import encode_page
from bankrudder.platform._requests import api_key, response_to
from bankrudder.relay import Malformed, NotFound, NotRun
from bankrudder.workspaces import Admitted
from bankrudder.world import SampleId, WorkspaceName

LONG_POLL_MARGIN_S = 0.1
"""Time by which a long poll is answered before the caller's maximum wait ends."""

MAX_LONG_POLL_S = 5.0
"""Longest time for which a long poll waits, whatever the caller's maximum wait is. A
connection on which one waits is not closed for others."""


class BatchCalls:
    """Answers the calls that name a batch, which have no route."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway

    @staticmethod
    def handles(path: str) -> bool:
        """Whether the path is that of such a call."""
        return path.startswith((names.BATCH_PATH_PREFIX, names.SAMPLE_PATH_PREFIX))

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a call."""
        is_end = request.method == "DELETE"
        refusal = self._gateway.batch_call_refusal(is_write=is_end)
        if refusal is not None:
            return response_to(refusal)
        admitted = await self._gateway.admit_batch_call(api_key(request))
        if not isinstance(admitted, Admitted):
            return response_to(admitted)
        path = request.path
        if path.startswith(names.SAMPLE_PATH_PREFIX):
            batch_id = BatchId(path.removeprefix(names.SAMPLE_PATH_PREFIX))
            return await self._sample_body(request, batch_id, admitted.workspace)
        batch_id = BatchId(path.removeprefix(names.BATCH_PATH_PREFIX))
        if is_end:
            reply = await self._gateway.end(batch_id, admitted.workspace)
            return web.Response(status=200) if reply is None else response_to(reply)
        return await self._results(request, batch_id, admitted.workspace)

    async def _results(
        self, request: web.BaseRequest, batch_id: BatchId, workspace: WorkspaceName
    ) -> web.Response:
        after = decode_decimal(request.query.get("after", "0"))
        if after is None:
            return response_to(Malformed("after"))
        wait_ms = decode_decimal(request.headers.get(names.MAX_WAIT_MS, "0"))
        wait_s = 0.0 if wait_ms is None else min(wait_ms / 1000, MAX_LONG_POLL_S)
        page = await self._gateway.results(
            batch_id, after, max(wait_s - LONG_POLL_MARGIN_S, 0.0), workspace
        )
        if isinstance(page, NotRun | NotFound):
            return response_to(page)
        return web.Response(body=encode_page(page), content_type="application/json")

    async def _sample_body(
        self, request: web.BaseRequest, batch_id: BatchId, workspace: WorkspaceName
    ) -> web.Response:
        sample_id = SampleId(request.query.get("id", ""))
        found = await self._gateway.sample_body(batch_id, sample_id, workspace)
        if isinstance(found, NotRun | NotFound):
            return response_to(found)
        return web.Response(body=found)
