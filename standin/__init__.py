"""A stand-in for a target, for the demo, the tests and the benches."""
