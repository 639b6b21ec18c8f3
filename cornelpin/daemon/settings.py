"""Reads the daemon's settings and reports all validation errors at once."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from attrs import evolve

from cornelpin.core._checking import Fault, Faults, build
from cornelpin.core.documents import Document, read_document
from cornelpin.daemon._settings_classes import (
    MIN_KEY_CHARS,
    BackendSettings,
    HostListSettings,
    LimitSettings,
    LogSettings,
    ObjectsSettings,
    Settings,
    TlsSettings,
    WeightStoreSettings,
)

__all__ = [
    "BackendSettings",
    "HostListSettings",
    "LimitSettings",
    "LogSettings",
    "ObjectsSettings",
    "Settings",
    "SettingsFaults",
    "TlsSettings",
    "WeightStoreSettings",
    "load_settings",
    "parse_settings",
]


@dataclass(frozen=True)
class SettingsFaults:
    """All validation errors of invalid settings, each as a ``Fault``."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def load_settings(path: str | Path) -> Settings | SettingsFaults:
    """Reads and checks a settings file and the file of the shared key, if any.

    Args:
        path: File in JSON with comments.

    Returns:
        The settings with the shared key filled in, or all validation errors.
    """
    document = read_document(Path(path))
    if not isinstance(document, Document):
        valid = "a readable file in JSON with comments"
        return SettingsFaults((Fault("$", str(document), valid),))
    settings = parse_settings(document.value)
    if isinstance(settings, Settings) and settings.shared_key_file is not None:
        return _with_shared_key(settings, Path(settings.shared_key_file))
    return settings


def parse_settings(document: Any) -> Settings | SettingsFaults:
    """Checks a settings document without reading the file of the shared key."""
    faults: Faults = []
    settings = build(Settings, document, faults)
    if isinstance(document, dict):
        # Checked on the document, so that they are reported along with other faults.
        faults.extend(_key_faults(document))
        faults.extend(_role_faults(document))
    if settings is None or faults:
        return SettingsFaults(tuple(sorted(faults, key=lambda fault: fault.path)))
    return settings


def _key_faults(document: dict[str, Any]) -> Iterator[Fault]:
    given = (document.get("shared_key"), document.get("shared_key_file"))
    if given.count(None) == 1:
        return
    value = "(both)" if None not in given else "(missing)"
    yield Fault("$.shared_key", value, "either shared_key or shared_key_file")


def _role_faults(document: dict[str, Any]) -> Iterator[Fault]:
    backend = document.get("backend")
    digest = document.get("bootstrap_operator_sha256")
    if document.get("role") == "entry":
        if document.get("http_port") is None:
            yield Fault("$.http_port", None, "a port: an entry needs one")
        if backend is not None:
            yield Fault("$.backend", backend, "null for an entry")
    elif document.get("role") == "side":
        if backend is None:
            yield Fault("$.backend", None, "an object: a side needs its backend server")
        if digest is not None:
            yield Fault("$.bootstrap_operator_sha256", digest, "null for a side")


def _with_shared_key(settings: Settings, path: Path) -> Settings | SettingsFaults:
    try:
        key = path.read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as exc:
        valid = f"a readable file ({exc})"
        return SettingsFaults((Fault("$.shared_key_file", str(path), valid),))
    if len(key) < MIN_KEY_CHARS:
        valid = f"a file that holds at least {MIN_KEY_CHARS} characters"
        return SettingsFaults((Fault("$.shared_key_file", str(path), valid),))
    return evolve(settings, shared_key=key)
