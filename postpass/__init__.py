"""postpass: one serving layer for live callers and for lots, on the same workers."""
