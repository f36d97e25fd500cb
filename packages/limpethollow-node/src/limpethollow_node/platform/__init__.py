"""The adapter to the users' platform: the only place that knows the platform's names.

It decodes the platform's settings, headers and objects into the product's types, and does not
decide anything itself.
"""
