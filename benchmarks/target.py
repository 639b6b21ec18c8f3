"""Size of the system that the design targets, and resource limits at that size."""

from __future__ import annotations

import math

from cornelpin.core.subsetting import subset_size

ENTRIES = 1400
SIDES = 4600
COUNTS = {"entry": ENTRIES, "side": SIDES}
WORKSPACES = 13_000
MODELS = 38
REQUESTS_PER_S = 62_000
TOKENS_PER_S = 20_000_000
CHANGES_PER_DAY = 16_000
DAY_S = 86_400
# Time within which an accepted patch must be in force.
IN_FORCE_S = 5.0
# Limits for one entry or side without requests: processor time as a share of a core,
# resident memory in MB (1e6 bytes) and bytes sent or received.
CONTROL_CORE_SHARE = 0.025
CONTROL_MEMORY_MB = 128
CONTROL_BYTES_PER_S = 3000
STORE_READS_PER_S = 2000
STORE_WRITES_PER_S = 400

# Links of an entry: a bounded subset of the sides of each model, and other entries.
# As in Chord, the entries form a ring and each one connects to those at the distances
# 1, 2, 4 and so on; as many others connect to it.
ENTRY_LINKS = MODELS * subset_size(MODELS) + 2 * math.ceil(math.log2(ENTRIES))
SIDE_LINKS = round(MODELS * subset_size(MODELS) * ENTRIES / SIDES)
