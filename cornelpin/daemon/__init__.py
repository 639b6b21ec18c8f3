"""The cornelpind daemon: entry and side processes, and the streams between them."""
