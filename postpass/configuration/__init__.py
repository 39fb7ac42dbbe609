"""Process settings and the fleet's configuration: types, checks and changes between versions."""
