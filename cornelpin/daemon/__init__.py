"""The cornelpind daemon: supervisor, entry and side roles, peer streams."""
