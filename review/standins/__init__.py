"""Stand-ins for the platform, its executors, clients and operator."""
