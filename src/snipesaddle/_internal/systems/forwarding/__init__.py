"""Decision logic of the forwarding tier, free of I/O, encoding and clocks."""
