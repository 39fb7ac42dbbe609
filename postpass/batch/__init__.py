"""Jobs of many items: their records, the service that keeps them, and the scheduler that works through them."""
