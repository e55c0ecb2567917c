"""Implementation details; not part of the public interface."""
