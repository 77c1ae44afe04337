"""Randomized soak test: real daemons, a simulated platform, and injected faults."""
