"""TLS credentials of the gRPC listener."""

import grpc

from bankrudder.tls import TlsSettings, read_pem


def server_credentials(settings: TlsSettings) -> grpc.ServerCredentials:
    """Return credentials made of the PEM files that the settings name.

    Raises
    ------
    InvalidError
        If a file cannot be read.
    """
    return grpc.ssl_server_credentials(
        [(read_pem(settings, "key"), read_pem(settings, "certificate"))],
        root_certificates=read_pem(settings, "ca") if settings.mutual else None,
        require_client_auth=settings.mutual,
    )
