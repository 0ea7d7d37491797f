"""Tests of what both schedulers share on cancellations."""
