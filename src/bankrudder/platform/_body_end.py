"""How the body of an answer ended.

A body without a length ends with its connection. The HTTP client ends it in the same
way whether the connection was closed or reset.
"""

import aiohttp


def was_cut_off(response: aiohttp.ClientResponse) -> bool:
    """Whether the end of a body that was read is not the end of the answer."""
    headers = response.headers
    encoding = headers.get("Transfer-Encoding", "")
    if "Content-Length" in headers or "chunked" in encoding.lower():
        return False  # the HTTP client checks these
    protocol = response._protocol
    # A connection that was closed in order leaves another error here.
    return protocol is not None and isinstance(protocol.exception(), OSError)
