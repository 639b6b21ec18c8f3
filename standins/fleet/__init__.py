"""Stand-ins for tests of the gateway: its object store and its backend servers.

The gateway (``cornelpin.gateway``) uses other HTTP APIs than the daemon
(``cornelpin.daemon``), whose stand-ins are the other modules of ``standins``. These run
in the event loop of a test, which reads their counters and sets their faults directly.
"""
