"""Randomised soak of ``cornelpin.gateway`` processes under faults.

``benchmarks.soak`` does the same for the daemon.
"""
