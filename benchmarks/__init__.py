"""Measurements that anyone can rerun; the tables they left are in `benchmarks/results/`."""
