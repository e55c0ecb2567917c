"""Validated models of settings, service files and HTTP bodies."""
