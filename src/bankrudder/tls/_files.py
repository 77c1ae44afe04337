"""Reads the PEM files that settings name; each error names the setting."""

from pathlib import Path

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.tls._settings import ClientTlsSettings, TlsSettings

TLS_SECTION = "tls"
"""Settings section that errors name by default."""


def read_pem(
    settings: TlsSettings | ClientTlsSettings, field: str, section: str = TLS_SECTION
) -> bytes:
    """Return the contents of the file that a field of the settings names.

    Raises
    ------
    InvalidError
        If the file cannot be read; the `field` of its failure names the setting.
    """
    path = Path(getattr(settings, field))
    try:
        return path.read_bytes()
    except OSError as error:
        detail = f"{path} cannot be read: {error.strerror}"
        raise setting_error(section, field, detail) from error


def setting_error(section: str, field: str, detail: str) -> InvalidError:
    """Return an error about a field of a settings section."""
    path = f"{section}.{field}"
    return InvalidError(
        FailureReason.CONFIGURATION_WRONG, f"{path}: {detail}", field=path
    )
