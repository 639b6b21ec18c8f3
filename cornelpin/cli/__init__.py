"""The cornelpin command line."""
