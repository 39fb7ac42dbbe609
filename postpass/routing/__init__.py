"""Choosing workers for live requests and items of jobs: pure functions of frozen values, used by edges and schedulers."""
