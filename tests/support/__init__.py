"""What tests, benchmarks and the demo share to start processes."""
