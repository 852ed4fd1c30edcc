"""Runs all features and prints the closing line that CI reads.

Scenarios tagged @known_red are listed in KNOWN-RED.txt. They run last, their
results are printed, and they do not change the verdict.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

TESTS = Path(__file__).resolve().parent


def run_behave(tags: list[str]) -> tuple[int, int, int]:
    """Run the features with these tags; return passed, failed and skipped."""
    with tempfile.TemporaryDirectory() as reports:
        command = [sys.executable, "-m", "behave", "--junit", "--junit-directory"]
        command += [reports, "--format", "progress", "--no-capture", *tags, "."]
        environment = {**os.environ, "PYTHONPATH": str(TESTS.parent)}
        exit_code = subprocess.run(
            command, cwd=TESTS, check=False, env=environment
        ).returncode
        totals = count_results(Path(reports))
        print_failures(Path(reports))
    if exit_code != 0 and totals[1] == 0:
        return totals[0], 1, totals[2]
    return totals


def count_results(reports: Path) -> tuple[int, int, int]:
    """Add up the JUnit reports of one run."""
    tests = failed = skipped = 0
    for report in reports.glob("*.xml"):
        suite = ElementTree.parse(report).getroot()
        tests += int(suite.get("tests", 0))
        failed += int(suite.get("failures", 0)) + int(suite.get("errors", 0))
        skipped += int(suite.get("skipped", 0))
    return tests - failed - skipped, failed, skipped


def print_failures(reports: Path) -> None:
    """Print what each failed scenario says: its step, message and trace."""
    for report in sorted(reports.glob("*.xml")):
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            for failure in (*case.iter("failure"), *case.iter("error")):
                print(f"FAILED {case.get('classname')}: {case.get('name')}")
                print(f"  {failure.get('message')}")
                print((failure.text or "").strip())


def main() -> int:
    """Run the gating scenarios, then the known red ones."""
    tags = ["--tags", "not @known_red"]
    if "--soak" not in sys.argv:
        tags += ["--tags", "not @soak"]
    passed, failed, _ = run_behave(tags)
    red_passed, red_failed, _ = run_behave(["--tags", "@known_red"])
    if red_passed or red_failed:
        print(f"known red scenarios: {red_failed} failing, {red_passed} passing")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
