"""What each mechanism is worth: plays days with one switched off at a time."""
