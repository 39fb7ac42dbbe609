"""Which worker gets which request or item: pure functions over frozen values, used by edges and schedulers alike."""
