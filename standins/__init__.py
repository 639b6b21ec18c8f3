"""Small stand-ins of the outside systems, run as separate processes."""
