"""Exhaustive search over the product's decisions: what no schedule of the simulator happens to draw."""
