"""Tests of limpethollow."""
