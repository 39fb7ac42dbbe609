"""Partitions of kept jobs: the record log, its owner and mirrors, acknowledgements and takeover."""
