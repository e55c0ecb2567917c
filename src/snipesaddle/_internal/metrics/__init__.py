"""Latency histograms and structured logs."""
