"""Test certificates, made at test time because committed ones would expire."""

import datetime
import ipaddress
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bankrudder.tls import ClientTlsSettings, TlsSettings

LOOPBACK = "127.0.0.1"


class Authority:
    """Signs certificates for loopback addresses and the name ``bankrudder``."""

    def __init__(self, folder):
        self.folder = folder
        folder.mkdir()
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, folder.name)])
        builder = self._builder(self.name, self.key).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        self._write("ca.pem", builder.sign(self.key, hashes.SHA256()))

    def settings(self, *, mutual=True, authority=None, addresses=(LOOPBACK,)):
        """Make an identity and return its settings; they trust `authority` or self."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "bankrudder")])
        names = [x509.IPAddress(ipaddress.ip_address(each)) for each in addresses]
        alternatives = x509.SubjectAlternativeName([x509.DNSName("bankrudder"), *names])
        builder = self._builder(name, key).add_extension(alternatives, critical=False)
        self._write("node.pem", builder.sign(self.key, hashes.SHA256()))
        pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        (self.folder / "node.key").write_bytes(pem)
        return TlsSettings(
            certificate=str(self.folder / "node.pem"),
            key=str(self.folder / "node.key"),
            ca=str((authority or self).folder / "ca.pem"),
            mutual=mutual,
        )

    def _builder(self, subject, key):
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
        )

    def _write(self, name, certificate):
        pem = certificate.public_bytes(serialization.Encoding.PEM)
        (self.folder / name).write_bytes(pem)


def client_tls_settings(settings):
    """Return client settings with the same identity, or with none unless `mutual`."""
    if not settings.mutual:
        return ClientTlsSettings(settings.ca)
    return ClientTlsSettings(settings.ca, settings.certificate, settings.key)


def client_context(settings):
    """Return the TLS context of an HTTP client with the same identity."""
    context = ssl.create_default_context(cafile=settings.ca)
    context.load_cert_chain(settings.certificate, settings.key)
    return context
