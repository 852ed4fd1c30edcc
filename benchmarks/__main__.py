"""Runs all measurements one after another: `python -m benchmarks`."""

import subprocess
import sys

PARTS = (
    ("flows", "--flows", "840"),
    ("crest",),
    ("blocking",),
    ("requests",),
    ("fleet",),
    ("processes", "--baselines"),
)


def main() -> int:
    """Run the parts, in the order of the users' measures; return the exit code."""
    failed = 0
    for module, *options in PARTS:
        print(f"== {module}", flush=True)
        command = [sys.executable, "-m", f"benchmarks.{module}", *options]
        failed += subprocess.run(command, check=False).returncode != 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
