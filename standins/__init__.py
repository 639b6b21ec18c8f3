"""Test doubles of the external systems, each run as a process of its own."""
