"""The control protocol as a transition system over the product's own decisions."""
