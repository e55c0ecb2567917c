"""Abstract base classes of what lies outside an entry node."""
