"""Paragraphs at the end of help pages."""

from __future__ import annotations

from cornelpin.cli.exit_codes import MEANINGS

# Click does not rewrap a paragraph that starts with this line.
_KEEP_LINES = "\b\n"


def lines(heading: str, *texts: str) -> str:
    """Returns a paragraph with a heading and indented lines."""
    return _KEEP_LINES + "\n".join([f"{heading}:", *(f"  {text}" for text in texts)])


def examples(*commands: str) -> str:
    """Returns the epilog of a command's help page."""
    return lines("Examples", *commands) + "\n\nExit codes: see 'cornelpin --help'."


def exit_codes_help() -> str:
    """Returns the paragraph that documents the exit codes."""
    return lines("Exit codes", *(f"{code}  {text}" for code, text in MEANINGS.items()))
