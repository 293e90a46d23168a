"""Long-running benchmarks and soak tests, one command each; docs/ has the results."""
