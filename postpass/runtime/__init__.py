"""What a process stands on: clock, network, chance and disk; log events; errors."""
