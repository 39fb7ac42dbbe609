"""The replication of a partition as a transition system over the product's own decisions."""
