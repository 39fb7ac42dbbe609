"""The daemons of the fleet: the life cycle that all share, and the parts of the data plane and the control plane."""
