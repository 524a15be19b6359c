"""Membership of ingresses, in virtual time (`world`, `checks`) and with real processes (`rig`)."""
