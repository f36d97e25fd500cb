"""The request path: one event loop a process, driven by the decisions of the policy package."""
