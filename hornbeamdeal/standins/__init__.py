"""Stand-in programs for the fabric, peer network, platform and backend servers."""
