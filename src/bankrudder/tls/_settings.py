"""Settings of TLS: paths of PEM files."""

import msgspec


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node's identity, towards callers, operators and monitoring.

    Attributes
    ----------
    certificate, key : str
        Paths of the certificate chain and of its private key.
    ca : str
        Path of the certificates that the other side must be signed by.
    mutual : bool
        Whether callers, operators and monitoring must show certificates.
    """

    certificate: str
    key: str
    ca: str
    mutual: bool = False


class ClientTlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How one side connects to servers that speak TLS.

    Attributes
    ----------
    ca : str
        Path of the certificates that the servers must be signed by.
    certificate, key : str
        Paths of the certificate chain to show and of its private key; both
        empty to show none.
    """

    ca: str
    certificate: str = ""
    key: str = ""
