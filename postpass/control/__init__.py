"""The control plane: epochs, election, replication of the control state, orders and the feed."""

from postpass.control.daemon import ControlPlane
from postpass.control.state import ReplicatedState

__all__ = ["ControlPlane", "ReplicatedState"]
