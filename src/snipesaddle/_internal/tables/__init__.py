"""Entities as data classes, kept in indexed tables."""
