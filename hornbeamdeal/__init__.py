"""Layer-4 load balancer whose entry hosts share no writable state."""

__version__ = "0.1.0"
