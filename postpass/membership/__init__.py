"""Who belongs to the fleet: partial views, the registry of announced machines, and safe changes."""
