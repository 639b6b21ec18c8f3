"""Clients of the platform's services, created by kind from registries."""

from __future__ import annotations

from cornelpin.stores.hosts import HostList
from cornelpin.stores.http_objects import HttpObjectStore
from cornelpin.stores.objects import ObjectStore
from cornelpin.stores.registry import host_list, object_store, weight_store

__all__ = [
    "HostList",
    "HttpObjectStore",
    "ObjectStore",
    "host_list",
    "object_store",
    "weight_store",
]
