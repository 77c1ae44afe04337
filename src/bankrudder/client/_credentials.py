"""TLS credentials of clients."""

import grpc

from bankrudder.tls import TLS_SECTION, ClientTlsSettings, read_pem


def channel_credentials(
    settings: ClientTlsSettings, section: str = TLS_SECTION
) -> grpc.ChannelCredentials:
    """Return TLS credentials, with a client certificate if the settings name one.

    Raises
    ------
    InvalidError
        If a PEM file cannot be read.
    """
    has_certificate = bool(settings.certificate)
    return grpc.ssl_channel_credentials(
        root_certificates=read_pem(settings, "ca", section),
        private_key=read_pem(settings, "key", section) if has_certificate else None,
        certificate_chain=read_pem(settings, "certificate", section)
        if has_certificate
        else None,
    )
