"""Clients of the platform's services, chosen by kind through registries."""

from __future__ import annotations

from cornelpin.platform.hosts import HostList
from cornelpin.platform.http_objects import HttpObjectStore
from cornelpin.platform.objects import ObjectStore
from cornelpin.platform.registry import host_list, object_store, weight_store

__all__ = [
    "HostList",
    "HttpObjectStore",
    "ObjectStore",
    "host_list",
    "object_store",
    "weight_store",
]
