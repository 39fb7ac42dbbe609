"""How daemons learn a new configuration: the messages of the feed, and the view that each daemon keeps."""
