"""Membership of the fleet: partial views, the registry of announced machines and workers, and safe changes of members."""
