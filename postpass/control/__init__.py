"""The control plane: epochs, election, replication of the control state, orders and the feed."""
