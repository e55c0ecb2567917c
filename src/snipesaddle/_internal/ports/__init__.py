"""Abstract base classes for what an entry node communicates with."""
