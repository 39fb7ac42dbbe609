"""Replicated partitions of durable jobs: the record log, its owner and mirrors, acknowledgements and elections."""
