"""Entry point of the gateway: ``python3 -m cornelpin.gateway``."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Runs one entry until SIGTERM; exits with 2 if its settings are invalid."""
    from cornelpin.gateway.app import Entry
    from cornelpin.gateway.logs import LineWriter, set_up_logs
    from cornelpin.gateway.settings import load_hedging, load_valuation
    from cornelpin.platform import SETTINGS_VARIABLE, BadValue, load_host_settings

    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_host_settings(path)
    except BadValue as exc:
        sys.stderr.write(
            f"invalid settings file {path!r} (from {SETTINGS_VARIABLE}): {exc}\n"
        )
        sys.exit(EXIT_INVALID_SETTINGS)
    try:
        valuation = load_valuation(os.environ)
        hedging = load_hedging(os.environ)
    except BadValue as exc:
        sys.stderr.write(f"invalid environment variable {exc}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    lines = LineWriter()
    set_up_logs(settings.host, lines)

    async def run() -> None:
        await Entry(settings, path, lines, valuation, hedging).run()

    asyncio.run(run())


# SIGHUP is ignored until Entry.run installs the handler that reloads the settings. The
# default action would kill the process during the slow imports in main().
signal.signal(signal.SIGHUP, signal.SIG_IGN)
if __name__ == "__main__":
    main()
