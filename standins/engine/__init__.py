"""A stand-in of a model engine with continuous batching."""
