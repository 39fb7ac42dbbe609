"""Jobs of many items: their records, the services that store them, and the scheduler that runs their items."""
