"""Measurements on simulated time: counts and virtual seconds, the same on every machine.

`python -m bench.measure` has the commands.
"""
