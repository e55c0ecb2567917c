"""Decisions of the forwarding tier; no socket, no encoder and no clock."""
