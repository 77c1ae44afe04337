"""Stand-ins of the users' platform: store, engines, plain services."""
