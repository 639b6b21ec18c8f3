"""Replay of ways in which entries may share the limit of one server."""
