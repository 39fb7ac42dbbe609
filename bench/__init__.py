"""Development tools beside the product: stand-ins, callers and a fleet starter on loopback."""
