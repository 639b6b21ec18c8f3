"""Randomised soak of real entry processes, with faults injected from outside."""
