"""One entry process: accepts callers' requests and sends them to backend servers."""
