"""Result rows of the slope benchmarks, and the registry of these benchmarks.

A row holds a line fitted through a resource's usage at several sizes, so that the
usage at the target size can be extrapolated.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence

from attrs import frozen

SETTLE_S = 6.0
PATCHES = 10
PATCH_PAUSE_S = 0.3


@frozen
class Row:
    """Linear fit of one resource of one role.

    Attributes:
        role: ``entry`` or ``side``; ``store`` for the object store, ``all`` for all
            processes of the fleet.
        resource: Resource that was measured.
        unit: Unit of the values.
        per: Unit of the sizes.
        slope: Increase of the value per unit of size.
        intercept: Fitted value at size zero.
        sizes: Measured sizes.
        values: Measured value at each size.
        target_size: Size that the role has in the target deployment.
        at_target: Fitted value at the target size.
        limit: Highest value allowed at the target size, None if there is none.
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
    """Fits a line through points of size and value."""
    sizes, values = (list(part) for part in zip(*sorted(points), strict=True))
    slope, intercept = fit(sizes, values)
    at_target = intercept + slope * target_size
    return Row(
        role,
        resource,
        unit,
        per,
        _round_significant(slope),
        _round_significant(intercept),
        [_round_significant(size) for size in sizes],
        [_round_significant(value) for value in values],
        target_size,
        _round_significant(at_target),
        limit,
    )


def fit(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Returns slope and intercept by least squares; slope 0 for a single size."""
    if len(set(sizes)) < 2:
        return 0.0, statistics.fmean(values)
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def _round_significant(value: float) -> float:
    return float(f"{value:.4g}")


SLOPE_BENCHMARKS: dict[str, Callable[[], Iterator[Row]]] = {}


def slope_benchmark(
    name: str,
) -> Callable[[Callable[[], Iterator[Row]]], Callable[[], Iterator[Row]]]:
    """Registers a function that measures rows as the named slope benchmark."""

    def register(function: Callable[[], Iterator[Row]]) -> Callable[[], Iterator[Row]]:
        SLOPE_BENCHMARKS[name] = function
        return function

    return register
