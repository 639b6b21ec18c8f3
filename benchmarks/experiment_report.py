"""Writes the results of the experiment as one HTML page with embedded plots."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs
import matplotlib
from attrs import define, field
from hdrh.histogram import HdrHistogram

from benchmarks.experiment_rows import Cell, Row

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000.0
PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.9, 100)
PLOT_SIZE_IN = (6, 3.5)
_STYLE = """
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border-bottom: 1px solid #ccc; padding: 2px 8px; text-align: right; }
"""


@define
class Latencies:
    """Histograms of the latency of good responses, in milliseconds."""

    histograms: dict[tuple[Cell, str], Any] = field(factory=dict)

    def add(self, cell: Cell, tier: str, latency_s: float) -> None:
        """Adds the latency of one response."""
        key = (cell, tier)
        if key not in self.histograms:
            self.histograms[key] = HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
        self.histograms[key].record_value(max(LOWEST_MS, int(latency_s * MS_PER_S)))


def write_report(
    path: Path,
    rows: list[Row],
    latencies: Latencies,
    latency_limits_s: Mapping[str, float],
) -> None:
    """Writes the page."""
    deployments = list(dict.fromkeys(row.deployment for row in rows))
    parts = [_section(name, rows, latencies) for name in deployments]
    limits = ", ".join(
        f"{tier} {limit:g} s" for tier, limit in latency_limits_s.items()
    )
    path.write_text(
        '<!doctype html>\n<html lang="en"><meta charset="utf-8">'
        f"<title>Experiment</title><style>{_STYLE}</style>\n<h1>Experiment</h1>\n"
        "<p>Good responses are complete and arrive within the latency limit of their "
        f"tier from the intended send time: {html.escape(limits)}. The bound is a "
        "fluid model with perfect knowledge.</p>\n"
        + "\n".join(parts)
        + _table(rows)
        + "</html>\n"
    )


def _section(name: str, rows: list[Row], latencies: Latencies) -> str:
    deployment_rows = [row for row in rows if row.deployment == name]
    tiers = list(dict.fromkeys(row.tier for row in deployment_rows))
    plots = [
        _line_plot(
            f"{tier}: goodput", "good", [r for r in deployment_rows if r.tier == tier]
        )
        for tier in tiers
    ]
    plots += [
        _line_plot(
            f"{tier}: wasted prefill",
            "wasted_prefill",
            [r for r in deployment_rows if r.tier == tier],
        )
        for tier in tiers
        if any(row.wasted_prefill for row in deployment_rows if row.tier == tier)
    ]
    plots += [_latency_plot(name, tier, latencies) for tier in tiers]
    return f"<h2>{html.escape(name)}</h2>\n" + "\n".join(plots)


def _line_plot(title: str, measure: str, rows: list[Row]) -> str:
    figure, axes = plt.subplots(figsize=PLOT_SIZE_IN)
    for system in dict.fromkeys(row.system for row in rows):
        points = sorted(
            (r.load, getattr(r, measure)) for r in rows if r.system == system
        )
        axes.plot(*zip(*points, strict=True), marker="o", label=system)
    axes.set(title=title, xlabel="load / capacity", ylabel="share", ylim=(-0.03, 1.03))
    axes.legend()
    return _embedded(figure, title)


def _latency_plot(deployment: str, tier: str, latencies: Latencies) -> str:
    figure, axes = plt.subplots(figsize=PLOT_SIZE_IN)
    for (cell, name), histogram in latencies.histograms.items():
        if (cell.deployment, name) == (deployment, tier):
            values = [histogram.get_value_at_percentile(p) for p in PERCENTILES]
            style = "--" if cell.system == "naive" else "-"
            axes.plot(PERCENTILES, values, style, label=f"{cell.system} {cell.load:g}")
    title = f"{tier}: latency of good responses"
    axes.set(title=title, xlabel="percentile", ylabel="ms", yscale="log")
    if axes.lines:
        axes.legend(fontsize="x-small")
    return _embedded(figure, title)


def _embedded(figure: Any, title: str) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80, bbox_inches="tight")
    plt.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="{html.escape(title)}" src="data:image/png;base64,{data}">'


def _table(rows: Iterable[Row]) -> str:
    documents = [attrs.asdict(row) for row in rows]
    names = list(documents[0]) if documents else []
    head = "".join(f"<th>{name}</th>" for name in names)
    lines = "\n".join(
        "<tr>" + "".join(f"<td>{_cell(document[n])}</td>" for n in names) + "</tr>"
        for document in documents
    )
    return f"<h2>Rows</h2>\n<table><tr>{head}</tr>\n{lines}\n</table>"


def _cell(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else html.escape(str(value))
