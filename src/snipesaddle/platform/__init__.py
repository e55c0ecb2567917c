"""Adapters to the users' platform: its names, formats and protocols.

Only this package knows the platform's names on the wire. It decodes them into
the product's own types and makes no decisions.
"""
