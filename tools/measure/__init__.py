"""Measurements of placement, request path, control and ledger; see tools/measure.py."""
