"""Who hears whom: when a member that was cut off or frozen may ask for an election."""
