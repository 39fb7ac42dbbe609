"""The measurements, by role. Each returns one row, which can be written as JSON."""
