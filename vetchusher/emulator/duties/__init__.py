"""Duties that one ingress holds at a time, in virtual time and with real processes."""
