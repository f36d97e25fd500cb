"""What lives for one version of the configuration."""
