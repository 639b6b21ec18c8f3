"""Randomised soak of real entries as separate processes, with faults from outside."""
