"""Run all features and print the summary line that CI parses.

Scenarios tagged @known_red are listed in KNOWN-RED.txt. They run last, and their
results are printed but do not change the exit code.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

TESTS = Path(__file__).resolve().parent


def run_behave(tag_options: list[str]) -> tuple[int, int, int]:
    """Run the features selected by tag options; return passed, failed, skipped."""
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "behave", "--junit", "--junit-directory"]
        command += [folder, "--format", "progress", "--no-capture", *tag_options, "."]
        environment = {**os.environ, "PYTHONPATH": str(TESTS.parent)}
        exit_code = subprocess.run(
            command, cwd=TESTS, check=False, env=environment
        ).returncode
        counts = count_results(Path(folder))
        print_failures(Path(folder))
    if exit_code != 0 and counts[1] == 0:
        return counts[0], 1, counts[2]
    return counts


def count_results(report_folder: Path) -> tuple[int, int, int]:
    """Sum the JUnit reports of one run; return passed, failed, skipped."""
    total = failed = skipped = 0
    for report in report_folder.glob("*.xml"):
        suite = ElementTree.parse(report).getroot()
        total += int(suite.get("tests", 0))
        failed += int(suite.get("failures", 0)) + int(suite.get("errors", 0))
        skipped += int(suite.get("skipped", 0))
    return total - failed - skipped, failed, skipped


def print_failures(report_folder: Path) -> None:
    """Print the name, message and traceback of each failed scenario."""
    for report in sorted(report_folder.glob("*.xml")):
        for scenario in ElementTree.parse(report).getroot().iter("testcase"):
            for failure in (*scenario.iter("failure"), *scenario.iter("error")):
                print(f"FAILED {scenario.get('classname')}: {scenario.get('name')}")
                print(f"  {failure.get('message')}")
                print((failure.text or "").strip())


def main() -> int:
    """Run the scenarios that decide the exit code, then the known red ones."""
    tag_options = ["--tags", "not @known_red"]
    if "--soak" not in sys.argv:
        tag_options += ["--tags", "not @soak"]
    passed, failed, _ = run_behave(tag_options)
    known_red_passed, known_red_failed, _ = run_behave(["--tags", "@known_red"])
    if known_red_passed or known_red_failed:
        print(
            f"known red scenarios: {known_red_failed} failing, {known_red_passed} passing"
        )
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
