"""Validated models of what crosses the border."""
