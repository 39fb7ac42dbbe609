"""The path of a live request from the client's connection to a worker's and back."""
