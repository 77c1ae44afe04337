"""TLS settings: paths of PEM files."""

import msgspec


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """TLS settings of a node's listeners for callers, operators and monitoring.

    Attributes
    ----------
    certificate, key : str
        Paths of the certificate chain and of its private key.
    ca : str
        Path of the CA certificates that peers' certificates are verified against.
    mutual : bool
        Whether callers, operators and monitoring must present certificates.
    """

    certificate: str
    key: str
    ca: str
    mutual: bool = False


class ClientTlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """TLS settings of a client.

    Attributes
    ----------
    ca : str
        Path of the CA certificates that servers' certificates are verified against.
    certificate, key : str
        Paths of the certificate chain to present and of its private key; both
        empty to present none.
    """

    ca: str
    certificate: str = ""
    key: str = ""
