"""A stand-in of a model engine (LLM inference server) with continuous batching."""
