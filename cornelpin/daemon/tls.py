"""TLS contexts of the peer streams, from settings, by the standard library."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelpin.daemon.settings import TlsSettings


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context of outgoing streams; both ends show certificates."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are named by IP numbers that change with each replaced host; the
    # authority and the shared key say who belongs to the system.
    context.check_hostname = False
    return _loaded(context, tls)


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context of incoming streams; both ends show certificates."""
    return _loaded(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)


def _loaded(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    return context
