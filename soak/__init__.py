"""A randomized soak: real programs, with faults brought in from outside."""
