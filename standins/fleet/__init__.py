"""Stand-ins of the platform around a gateway fleet: its store and backend servers."""
