"""The configuration feed: its messages, the view of the configuration that each daemon keeps, and its follower."""
