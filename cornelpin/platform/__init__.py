"""Registry of clients for the platform's services."""
