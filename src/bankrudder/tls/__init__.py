"""TLS as settings; the credentials of gRPC are made where gRPC is used."""

from bankrudder.tls._contexts import http_server_context
from bankrudder.tls._files import SECTION, read_pem
from bankrudder.tls._settings import ClientTlsSettings, TlsSettings

__all__ = [
    "ClientTlsSettings",
    "SECTION",
    "TlsSettings",
    "http_server_context",
    "read_pem",
]
