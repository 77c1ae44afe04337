"""Credentials of clients."""

import grpc

from bankrudder.tls import TLS_SECTION, ClientTlsSettings, read_pem


def channel_credentials(
    settings: ClientTlsSettings, section: str = TLS_SECTION
) -> grpc.ChannelCredentials:
    """Return the credentials of a caller, with its certificate if it has one.

    Raises
    ------
    InvalidError
        If a file cannot be read.
    """
    shows = bool(settings.certificate)
    return grpc.ssl_channel_credentials(
        root_certificates=read_pem(settings, "ca", section),
        private_key=read_pem(settings, "key", section) if shows else None,
        certificate_chain=read_pem(settings, "certificate", section) if shows else None,
    )
