"""A process of the fleet: its life, and what a data plane and a control plane are made of."""
