"""Runs one node from the copy of the package that the build compiled."""

from hornbeamdeal.platform.main import main

main()
