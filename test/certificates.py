"""Certificates generated for tests."""

import pathlib
import tempfile

import trustme
from gevent import ssl


class Certificates:
    """Hold the PEM files of a CA and of a certificate for 127.0.0.1."""

    def __init__(self, case):
        directory = tempfile.TemporaryDirectory()
        case.addCleanup(directory.cleanup)
        base = pathlib.Path(directory.name)
        authority = trustme.CA()
        issued = authority.issue_cert("127.0.0.1")
        self.ca_file = str(base / "ca.pem")
        self.certificate = str(base / "own.pem")
        self.key = str(base / "own.key")
        authority.cert_pem.write_to_path(self.ca_file)
        issued.cert_chain_pems[0].write_to_path(self.certificate)
        issued.private_key_pem.write_to_path(self.key)

    def server_context(self):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self.certificate, self.key)
        return context

    def client_context(self):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(self.ca_file)
        return context
