"""The timeline as an HTML page with one column per process."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from html import escape
from typing import Any

from cornelpin.cli._output import format_cell, format_timestamp

_DETAILS = ("request", "move", "detail")

_PAGE = """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>cornelpin timeline</title>
<style>
body {{ font: 14px sans-serif; }}
table {{ border-collapse: collapse; }}
th {{ position: sticky; top: 0; background: #eee; }}
th, td {{ border: 1px solid #ddd; padding: 2px 6px; text-align: left; }}
td:first-child {{ font-family: monospace; white-space: nowrap; }}
</style>
<h1>Timeline</h1>
<p>{count} events</p>
<table>
<thead><tr><th>Time (UTC)</th>{heads}</tr></thead>
<tbody>
{rows}
</tbody>
</table>
</html>
"""


def render(events: Sequence[Mapping[str, Any]]) -> str:
    """Returns a self-contained page with one row per event."""
    processes = sorted({str(event.get("process")) for event in events})
    heads = "".join(f"<th>{escape(process)}</th>" for process in processes)
    rows = "\n".join(_row(event, processes) for event in events)
    return _PAGE.format(count=len(events), heads=heads, rows=rows)


def _row(event: Mapping[str, Any], processes: Sequence[str]) -> str:
    content = (
        f"<td><b>{escape(format_cell(event.get('kind')))}</b> {_details(event)}</td>"
    )
    event_process = str(event.get("process"))
    cells = (
        content if process == event_process else "<td></td>" for process in processes
    )
    return (
        f"<tr><td>{escape(format_timestamp(event.get('at')))}</td>{''.join(cells)}</tr>"
    )


def _details(event: Mapping[str, Any]) -> str:
    values = (format_cell(event[key]) for key in _DETAILS if event.get(key) is not None)
    return escape(" ".join(values))
