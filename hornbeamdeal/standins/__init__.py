"""Small stand-ins for the fabric, backend servers and the platform."""
