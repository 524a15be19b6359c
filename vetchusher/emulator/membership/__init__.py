"""Membership among ingresses in virtual time and with real processes."""
