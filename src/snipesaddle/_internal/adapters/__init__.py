"""Adapters: the ports, carried out by libraries."""
