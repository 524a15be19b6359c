"""Singleton roles under leases, in virtual time (`world`, `explorer`) and with real processes (`rig`)."""
