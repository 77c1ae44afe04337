"""TLS credentials from the options of the command line."""

import argparse

import grpc

from bankrudder.client import channel_credentials
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.tls import ClientTlsSettings


def credentials_of(arguments: argparse.Namespace) -> grpc.ChannelCredentials | None:
    """Return the credentials that the options name, None without TLS.

    Raises
    ------
    InvalidError
        If one of ``--certificate`` and ``--key-file`` is given without the other or
        without ``--ca``, or a file cannot be read.
    """
    certificate, key = arguments.certificate or "", arguments.key_file or ""
    if bool(certificate) != bool(key) or (certificate and not arguments.ca):
        raise InvalidError(
            FailureReason.BAD_REQUEST,
            "--certificate and --key-file require each other and --ca",
        )
    if not arguments.ca:
        return None
    settings = ClientTlsSettings(arguments.ca, certificate, key)
    return channel_credentials(settings)
