"""A query tier that distributes requests over many shards."""
