"""The control plane: epochs, elections, replication of the control state, operators' orders, and the configuration feed."""
