"""Runs one node from the copy of the package that the build compiled."""

import sys

from hornbeamdeal.platform.main import main

main(sys.argv[1])
