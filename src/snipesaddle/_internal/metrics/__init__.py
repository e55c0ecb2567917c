"""Histograms and structured logs."""
