"""Duties, in virtual time (`world`, `explorer`) and with real processes (`rig`)."""
