"""A randomised soak test: injects faults into a fleet of real processes."""
