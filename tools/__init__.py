"""Development tools: the test runner and the fault soak."""
