"""Example plug-ins for postpass."""
