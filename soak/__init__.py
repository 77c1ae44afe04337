"""A randomized soak: real daemons, stand-ins of the platform, faults from outside."""
