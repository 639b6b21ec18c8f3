"""Core logic of the scheduler: configuration, dispatch, claims and moves."""
