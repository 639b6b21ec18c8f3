"""Rows of the slopes: lines through measured points, and what measures them."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence

from attrs import frozen

SETTLE_S = 6.0
PATCHES = 10
PATCH_PAUSE_S = 0.3


@frozen
class Row:
    """One resource of one role: a line through measured points.

    Attributes:
        role: Role of the process, or ``store``.
        resource: What is used.
        unit: Unit of the figures.
        per: What the sizes count.
        slope: Growth for each one more of ``per``.
        intercept: Figure of the line at size zero.
        sizes: Sizes that were measured.
        values: Figure at each size.
        target_size: Size at the target.
        at_target: Figure of the line at the target.
        limit: Highest figure that the target allows, None without one.
    """

    role: str
    resource: str
    unit: str
    per: str
    slope: float
    intercept: float
    sizes: list[float]
    values: list[float]
    target_size: float
    at_target: float
    limit: float | None


def fit_row(
    role: str,
    resource: str,
    unit: str,
    per: str,
    points: Iterable[tuple[float, float]],
    *,
    target_size: float,
    limit: float | None,
) -> Row:
    """Fits a line through points of size and figure."""
    sizes, values = (list(part) for part in zip(*sorted(points), strict=True))
    slope, intercept = fit(sizes, values)
    at_target = intercept + slope * target_size
    return Row(
        role,
        resource,
        unit,
        per,
        _short(slope),
        _short(intercept),
        [_short(size) for size in sizes],
        [_short(value) for value in values],
        target_size,
        _short(at_target),
        limit,
    )


def fit(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Returns slope and intercept by least squares; a single size has no slope."""
    if len(set(sizes)) < 2:
        return 0.0, statistics.fmean(values)
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def _short(value: float) -> float:
    return float(f"{value:.4g}")


EXPERIMENTS: dict[str, Callable[[], Iterator[Row]]] = {}


def experiment(
    name: str,
) -> Callable[[Callable[[], Iterator[Row]]], Callable[[], Iterator[Row]]]:
    """Registers a function that measures some rows."""

    def register(function: Callable[[], Iterator[Row]]) -> Callable[[], Iterator[Row]]:
        EXPERIMENTS[name] = function
        return function

    return register
