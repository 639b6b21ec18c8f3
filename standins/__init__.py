"""Test doubles of the external systems.

Each runs as a process of its own, except those in ``fleet``, which run in the event
loop of a test.
"""
