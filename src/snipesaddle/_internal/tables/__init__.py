"""Entities as data classes, stored in tables."""
