"""The published interface of workers, and plug-ins that choose among them."""
