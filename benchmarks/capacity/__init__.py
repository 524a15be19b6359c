"""Slopes of what each role holds, sends and costs, for `docs/CAPACITY.md`: `python -m benchmarks.capacity`.

`fleet` runs the programs' own processes hollow in one process and in virtual time; `alone` runs one role in a
process of its own against a large configuration; `fit` says how a figure grows.
"""
