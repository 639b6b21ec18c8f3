"""Decisions of the scheduler: configuration, dispatch, tiers, moves."""
