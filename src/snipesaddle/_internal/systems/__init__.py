"""Decisions: systems that run over the tables each tick, without I/O."""
