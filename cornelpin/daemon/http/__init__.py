"""HTTP interface of an entry: callers, operators, health and metrics."""
