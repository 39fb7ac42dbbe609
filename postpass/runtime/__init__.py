"""The runtime of a process: clock, network, random numbers and disk; log events; errors."""
