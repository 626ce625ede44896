"""Stand-ins for the platform, its executors, clients and operator (loopback only)."""
