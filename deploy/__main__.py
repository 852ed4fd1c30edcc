"""Runs one node from the compiled copy of the package."""

import sys

from hornbeamdeal.platform.main import main

main(sys.argv[1])
