"""Stand-ins for the platform (store, duty API, endpoints), and whole test sites."""
