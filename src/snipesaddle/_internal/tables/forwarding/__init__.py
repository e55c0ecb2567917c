"""Tables of the forwarding tier: routes, endpoints, requests, the fleet."""
