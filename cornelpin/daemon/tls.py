"""TLS contexts of the sessions between processes."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelpin.daemon.settings import TlsSettings


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context of outgoing connections; both ends present certificates."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are reached by IP addresses, which change when a host is replaced;
    # membership is proven by the certificate authority and the shared key.
    context.check_hostname = False
    return _configure(context, tls)


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context of incoming connections; both ends present certificates."""
    return _configure(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)


def _configure(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    return context
