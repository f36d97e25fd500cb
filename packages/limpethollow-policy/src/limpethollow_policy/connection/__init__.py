"""Decision logic with the lifetime of one connection, to a searcher or a peer instance."""
