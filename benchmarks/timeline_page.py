"""Renders the merged timeline as a self-contained HTML page."""

from __future__ import annotations

import html
import json
from collections.abc import Iterable
from typing import Any

_STYLE = """
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border-bottom: 1px solid #ccc; padding: 2px 8px; text-align: left; }
"""


def timeline_page(title: str, events: Iterable[dict[str, Any]]) -> str:
    """Returns a page with one row per event and one column per key."""
    listed = list(events)
    keys = list(dict.fromkeys(key for event in listed for key in event))
    head = "".join(f"<th>{html.escape(key)}</th>" for key in keys)
    rows = "\n".join(_row(event, keys) for event in listed)
    return (
        f'<!doctype html>\n<html lang="en"><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{_STYLE}</style>\n"
        f"<h1>{html.escape(title)}</h1>\n"
        f"<table><tr>{head}</tr>\n{rows}\n</table></html>\n"
    )


def _row(event: dict[str, Any], keys: list[str]) -> str:
    cells = "".join(f"<td>{_cell(event.get(key, ''))}</td>" for key in keys)
    return f"<tr>{cells}</tr>"


def _cell(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return html.escape(text)
