"""The operator's orders to evacuate data centres, objects in the platform's store.

An order is named after its data centre, which the platform calls a zone. What the
object holds does not matter.
"""

from __future__ import annotations

EVACUATION_KIND = "evacuations"
