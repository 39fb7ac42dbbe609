"""The checker for announced fleets: holds what clients, workers and the operator saw on their sockets against each rule
of the platform. It shares no code with the product.

A check is a function of a `Day` that returns one line for each breach; `checks.CHECKS` lists them by the name of the
rule. They are as strict as the rules, or a little less where the rules weigh what the platform alone knows; never
stricter.
"""

from __future__ import annotations

from sim.rules.checks import CHECKS, breaches
from sim.rules.configurations import route_of
from sim.rules.day import Day
from sim.rules.history import EVER

__all__ = ["CHECKS", "EVER", "Day", "breaches", "route_of"]
