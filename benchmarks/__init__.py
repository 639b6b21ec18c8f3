"""Experiment tool, load generators and micro-benchmarks."""
