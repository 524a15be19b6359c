"""Quotas in virtual time: demand, holders of totals, the judge and planted mutations."""
