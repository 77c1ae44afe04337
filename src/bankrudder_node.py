"""Runs a daemon on the platform from a checkout: ``python3 src/bankrudder_node.py``."""

import os

_AUTHORITIES = "SSL_CERT_FILE"


def _import_http_library() -> None:
    """Import aiohttp without the system's certificate authorities.

    It reads all of them as it is imported. A fleet that lost all of its hosts serves
    again when its processes have started, and this is a fifth of the processor time
    until the daemon's modules are there: 0.39 s in place of 0.50 s (least of twelve
    starts each, in turn; medians beside other work 0.62 and 0.77 s).

    The daemon's connections through aiohttp are plain HTTP; one with TLS would find no
    authority and fail. What is imported later, such as the export of traces, finds the
    variable as it was.
    """
    before = os.environ.get(_AUTHORITIES)
    os.environ[_AUTHORITIES] = os.devnull
    try:
        import aiohttp  # noqa: F401
    finally:
        if before is None:
            del os.environ[_AUTHORITIES]
        else:
            os.environ[_AUTHORITIES] = before


def _run() -> None:
    _import_http_library()
    from bankrudder.platform import main

    main()


if __name__ == "__main__":
    _run()
