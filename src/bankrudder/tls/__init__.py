"""TLS settings, PEM files and HTTP contexts.

The packages that use gRPC make its credentials, so that this one does not import it.
"""

from bankrudder.tls._contexts import http_server_context
from bankrudder.tls._files import TLS_SECTION, read_pem
from bankrudder.tls._settings import ClientTlsSettings, TlsSettings

__all__ = [
    "ClientTlsSettings",
    "TLS_SECTION",
    "TlsSettings",
    "http_server_context",
    "read_pem",
]
