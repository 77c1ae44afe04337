"""Reading of the PEM files that settings name, with the field in each error."""

from pathlib import Path

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.tls._settings import ClientTlsSettings, TlsSettings

SECTION = "tls"
"""Section of the settings that errors name unless told otherwise."""


def read_pem(
    settings: TlsSettings | ClientTlsSettings, field: str, section: str = SECTION
) -> bytes:
    """Return what the file holds that a field names.

    Raises
    ------
    InvalidError
        If it cannot be read; its `field` names the setting.
    """
    path = Path(getattr(settings, field))
    try:
        return path.read_bytes()
    except OSError as error:
        detail = f"{path} cannot be read: {error.strerror}"
        raise wrong_setting(section, field, detail) from error


def wrong_setting(section: str, field: str, detail: str) -> InvalidError:
    """Return the error that says what is wrong with a field of a section."""
    path = f"{section}.{field}"
    return InvalidError(
        FailureReason.CONFIGURATION_WRONG, f"{path}: {detail}", field=path
    )
