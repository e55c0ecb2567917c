"""Small stand-ins of what lies outside the system."""
