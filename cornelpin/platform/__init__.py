"""Adapter to the operator's platform: settings, configuration, headers, object store.

Decodes the platform's names and formats into the types of ``cornelpin.scheduling``; it
holds no scheduling logic.
"""

from __future__ import annotations

from cornelpin.platform._backend_server import SERVER_KIND, decode_server
from cornelpin.platform._config import (
    CONFIG_KIND,
    CONFIG_NAME,
    ConfigDecoder,
    config_faults,
    config_version,
)
from cornelpin.platform._decoding import BadValue, is_ip_address
from cornelpin.platform._evacuation import EVACUATION_KIND
from cornelpin.platform._headers import (
    RequestInfo,
    ResponseInfo,
    backend_headers,
    read_request,
    read_response,
    refusal_headers,
    response_headers,
    resume_headers,
)
from cornelpin.platform._operator import Stored, read_store
from cornelpin.platform._rollout import ROLLOUT_KIND, decode_rollout, rollout_status
from cornelpin.platform._settings import (
    SETTINGS_VARIABLE,
    Bounds,
    HostSettings,
    decode_settings,
    load_host_settings,
)
from cornelpin.platform._store import (
    WATCH_SLACK_S,
    CallReport,
    Store,
    StoreUnavailable,
)
from cornelpin.platform._store_objects import (
    Listing,
    OddObject,
    StoreObject,
    WatchResult,
)

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "EVACUATION_KIND",
    "ROLLOUT_KIND",
    "SERVER_KIND",
    "SETTINGS_VARIABLE",
    "WATCH_SLACK_S",
    "BadValue",
    "Bounds",
    "CallReport",
    "ConfigDecoder",
    "StoreObject",
    "HostSettings",
    "Listing",
    "OddObject",
    "RequestInfo",
    "ResponseInfo",
    "Store",
    "Stored",
    "StoreUnavailable",
    "WatchResult",
    "response_headers",
    "backend_headers",
    "config_faults",
    "config_version",
    "decode_rollout",
    "decode_server",
    "decode_settings",
    "is_ip_address",
    "load_host_settings",
    "read_request",
    "read_response",
    "read_store",
    "refusal_headers",
    "resume_headers",
    "rollout_status",
]
