"""The model versions of an engine and the orders that load and unload them."""

from __future__ import annotations

import threading
import time
import urllib.error
import urllib.request
from typing import Any

import attrs

FETCH_TIMEOUT_S = 600.0


class OrderRefusedError(Exception):
    """Raised for an order that the engine rejects.

    Attributes:
        status: HTTP status of the response.
        detail: Reason for the caller.
        retry_after: Value of ``Retry-After``; empty for none.
    """

    def __init__(self, status: int, detail: str, retry_after: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.retry_after = retry_after


@attrs.frozen
class LoadCost:
    """Cost of loading a version.

    Attributes:
        weights_url: Base URL of the weight store; empty if nothing is fetched.
        load_s: Time to load the weights after the fetch, in seconds.
    """

    weights_url: str
    load_s: float


class Versions:
    """The versions, the role and the fencing token of an engine.

    The first loaded version is the default. The role is a string that an order sets,
    at first ``both``; it is only reported and has no effect on the stand-in.

    Args:
        model: Name of the model.
        loaded: Versions loaded at the start.
        cost: Cost of loading a version.
        checks_fence: Whether orders with a stale fencing token are rejected.
        other_models: Further names under which requests may address the model, such as
            those of other routes to this engine; responses name ``model``.
    """

    def __init__(
        self,
        model: str,
        loaded: list[str],
        cost: LoadCost,
        checks_fence: bool,
        other_models: frozenset[str] = frozenset(),
    ) -> None:
        self._model = model
        self._models = other_models | {model}
        self._cost = cost
        self._checks_fence = checks_fence
        self._lock = threading.Lock()
        self._loaded = list(loaded)
        self._loading: list[str] = []
        self._role = "both"
        self._fence = 0

    def resolve(self, model_name: str) -> str | None:
        """Returns the loaded version for ``model`` or ``model@version``, else None."""
        model, _, version = model_name.partition("@")
        with self._lock:
            if model not in self._models or not self._loaded:
                return None
            if not version:
                return self._loaded[0]
            return version if version in self._loaded else None

    def snapshot(self) -> dict[str, Any]:
        """Returns versions, role and fencing token for ``GET /versions``."""
        with self._lock:
            return {
                "model": self._model,
                "versions": list(self._loaded),
                "loading": list(self._loading),
                "role": self._role,
                "fence": self._fence,
            }

    def order(self, order: dict[str, Any]) -> None:
        """Executes an order; blocks until it is done.

        Raises:
            OrderRefusedError: If the fencing token is stale, the operation is
                unknown, or the weights cannot be fetched.
        """
        fence = int(order.get("fence", 0))
        with self._lock:
            self._check_fence(fence)
        operation = order.get("op")
        if operation == "load":
            self._load(str(order["version"]), fence)
        elif operation == "unload":
            self._unload(str(order["version"]))
        elif operation == "role":
            with self._lock:
                self._role = str(order["role"])
        else:
            raise OrderRefusedError(400, f"unknown op {operation!r}")

    def _check_fence(self, fence: int) -> None:
        if self._checks_fence and fence < self._fence:
            raise OrderRefusedError(409, f"fence {fence} is below {self._fence}")
        self._fence = max(fence, self._fence)

    def _load(self, version: str, fence: int) -> None:
        with self._lock:
            if version in self._loaded:
                return
            self._loading.append(version)
        try:
            self._fetch_weights(version)
            time.sleep(self._cost.load_s)
            with self._lock:
                # A newer order may have been accepted during the load.
                self._check_fence(fence)
                if version not in self._loaded:
                    self._loaded.append(version)
        finally:
            with self._lock:
                self._loading.remove(version)

    def _unload(self, version: str) -> None:
        with self._lock:
            if version not in self._loaded:
                raise OrderRefusedError(404, f"version {version} isn't loaded")
            self._loaded.remove(version)

    def _fetch_weights(self, version: str) -> None:
        if not self._cost.weights_url:
            return
        url = f"{self._cost.weights_url}/weights/{self._model}/{version}"
        try:
            with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT_S) as response:
                response.read()
        except urllib.error.HTTPError as error:
            retry_after = error.headers.get("Retry-After") or ""
            detail = f"the weight store answered {error.code}"
            raise OrderRefusedError(503, detail, retry_after) from error
        except OSError as error:
            raise OrderRefusedError(503, f"no weight store: {error}") from error
