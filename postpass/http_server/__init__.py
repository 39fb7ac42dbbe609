"""The HTTP server of a process: limits on what clients send, and on what all of them may occupy together."""
