"""Simulated targets, callers and links for the demo, the tests and the benches."""
