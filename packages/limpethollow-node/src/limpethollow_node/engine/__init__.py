"""The request path: one event loop per process, driven by decisions of the policy package."""
