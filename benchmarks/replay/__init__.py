"""Replays of load patterns against emulated engines, by the gateway's own scheduler."""
