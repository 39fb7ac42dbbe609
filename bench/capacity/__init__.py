"""What each role of the fleet costs as the fleet grows: measured in simulated fleets, fitted by slopes, and laid out to
a size to design for. `python -m bench.capacity` has the commands."""
