"""TLS context of the HTTP listener for monitoring."""

import ssl

from bankrudder.tls._files import TLS_SECTION, read_pem, setting_error
from bankrudder.tls._settings import TlsSettings


def http_server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return the TLS context of the HTTP listener for monitoring.

    Raises
    ------
    InvalidError
        If a file cannot be read or used.
    """
    ca = read_pem(settings, "ca").decode("ascii", "replace")
    try:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cadata=ca)
    except ssl.SSLError as error:
        raise setting_error(TLS_SECTION, "ca", "is not a PEM certificate") from error
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, settings)
    if settings.mutual:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _load_certificate(context: ssl.SSLContext, settings: TlsSettings) -> None:
    read_pem(settings, "certificate")
    read_pem(settings, "key")
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except ssl.SSLError as error:
        detail = "is not a PEM certificate chain that matches the private key"
        raise setting_error(TLS_SECTION, "certificate", detail) from error
