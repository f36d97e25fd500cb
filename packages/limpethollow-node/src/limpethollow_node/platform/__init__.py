"""Adapter to the users' platform; no other package uses the platform's names.

It decodes the platform's settings, headers and stored objects into the product's types and contains
no decision logic.
"""
