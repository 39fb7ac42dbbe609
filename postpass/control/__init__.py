"""The control plane: epochs, election, replication of the control state, orders and the feed."""

from postpass.control.daemon import Control
from postpass.control.state import Held

__all__ = ["Control", "Held"]
