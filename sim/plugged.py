"""Plug-ins in a simulated fleet, see the tests: the example package is used, a configuration that names a missing plug-in is
refused, and a plug-in that raises makes no request fail."""

from __future__ import annotations
