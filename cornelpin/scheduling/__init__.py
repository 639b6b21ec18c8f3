"""Scheduling decisions of the gateway: queueing, admission, server selection, quotas.

Performs no input or output.
"""
