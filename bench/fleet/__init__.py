"""A whole deployment on loopback as real processes, with its clients, and with faults if asked for.

`python -m bench.fleet` has the commands.
"""
