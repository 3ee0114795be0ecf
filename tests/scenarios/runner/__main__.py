"""Runs scenario files, --jobs in parallel: python3 -m runner FILE..."""

import argparse
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from .scenario import Scenario


def known_red(path):
    """Returns the names of the tests that KNOWN-RED.txt lists.

    Each entry is a line of the form `test | command | ...`."""
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as file:
        return {line.split("|")[0].strip() for line in file
                if "|" in line and not line.startswith("#")}


def main():
    parser = argparse.ArgumentParser(prog="scenario.sh")
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--known-red", default="KNOWN-RED.txt")
    arguments = parser.parse_args()
    red = known_red(arguments.known_red)
    counts = {"passed": 0, "failed": 0, "known red": 0}

    def run(path):
        start = time.monotonic()
        failed = Scenario(path, arguments.build).run()
        return path, failed, time.monotonic() - start

    with ThreadPoolExecutor(arguments.jobs) as pool:
        for path, failed, seconds in pool.map(run, arguments.files):
            name = os.path.basename(path)
            verdict = "passed"
            if failed:
                verdict = "known red" if name in red else "failed"
            counts[verdict] += 1
            note = " (listed in KNOWN-RED.txt, but passed)" if (
                name in red and not failed) else ""
            print(f"{verdict}: {name} {seconds:.1f} s{note}", flush=True)
            if failed:
                print(failed, flush=True)
    print(f"scenarios: {counts['passed']} passed, {counts['failed']} failed, "
          f"{counts['known red']} known red")
    sys.exit(1 if counts["failed"] else 0)


main()
