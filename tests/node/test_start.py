"""What the daemon's program does before it imports its modules."""

import json
import os
import subprocess
import sys

from outside.site import PROGRAM

PROBE = """
import json, os, ssl, sys
sys.path.insert(0, sys.argv[1])
import bankrudder_node
bankrudder_node._import_http_library()
import aiohttp.connector as connector
context = connector._SSL_CONTEXT_VERIFIED
print(json.dumps([
    len(context.get_ca_certs()),
    context.verify_mode is ssl.CERT_REQUIRED,
    os.environ.get("SSL_CERT_FILE"),
]))
"""


def probe(**changes):
    environment = {k: v for k, v in os.environ.items() if k != "SSL_CERT_FILE"}
    output = subprocess.run(
        [sys.executable, "-c", PROBE, str(PROGRAM.parent)],
        env={**environment, **changes},
        capture_output=True,
        check=True,
    ).stdout
    return json.loads(output)


def test_no_ca_certificates_are_read_and_tls_still_requires_one():
    count, is_verified, _ = probe()
    assert count == 0
    assert is_verified


def test_ssl_cert_file_is_left_unchanged():
    assert probe()[2] is None
    assert probe(SSL_CERT_FILE="own.pem")[2] == "own.pem"
