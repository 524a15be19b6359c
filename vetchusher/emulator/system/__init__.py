"""The whole system: in virtual time under a judge of the rules, and as real processes on one machine."""
