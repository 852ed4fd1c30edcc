"""Runs all benchmarks one after another: `python -m benchmarks`."""

import subprocess
import sys

BENCHMARKS = (
    ("flows", "--flows", "840"),
    ("crest",),
    ("blocking",),
    ("requests",),
    ("uneven_load", "--short"),
    ("fleet",),
    ("processes", "--baselines"),
)


def main() -> int:
    """Run all benchmarks in the order of the users' measures; return the exit code."""
    failures = 0
    for module, *options in BENCHMARKS:
        print(f"== {module}", flush=True)
        command = [sys.executable, "-m", f"benchmarks.{module}", *options]
        failures += subprocess.run(command, check=False).returncode != 0
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
