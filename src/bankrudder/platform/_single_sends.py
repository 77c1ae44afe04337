"""HTTP requests that are sent once, whatever their method is.

The HTTP client sends a GET, PUT or DELETE request a second time if the connection ends
without an answer, although the first may have run. Whether a request may run again
depends on its route, and each run must be known to the code that limits the runs.
"""

import aiohttp


class ConnectionLostError(aiohttp.ClientError):
    """The connection ended before the answer began; the request may have run."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that keeps the HTTP client from repeating a request.

    Raises
    ------
    ConnectionLostError
        If the connection ended after the request may have been sent.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise  # there was no connection, so nothing was sent
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # The client repeats requests that fail with these errors, but no others.
        raise ConnectionLostError(str(error)) from error
