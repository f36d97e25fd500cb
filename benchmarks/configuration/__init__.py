"""Time from confirm to in force, and what control costs at rest and under changes."""
