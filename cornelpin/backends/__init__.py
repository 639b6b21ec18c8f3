"""Registry of backend server drivers."""
