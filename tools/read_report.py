#!/usr/bin/env python3
"""Checks whether the days in reports of the operators' bench meet the requirements.

    tools/read_report.py REPORT.json ... [--site SITE.toml] [--table]

For each report (`run SITE DAY --report FILE`) prints:
  - the share of jobs started and done per class, without cancelled jobs
  - the share of jobs started per team (reports have no count of a team's finished jobs)
  - broken rules, and controller processes that exited unexpectedly
  - the processor time of the controllers, and its sum with that of the simulated world
    against the 400 s that a day may use
  - with the site file: the peak memory and sockets of any controller against their limits

Exits with 1 if a day fails: a rule is broken, a process exited or panicked, a class or
team has a share below one half, the processor time is used up, or memory or sockets
exceed their limit. With --table, prints one row of a Markdown table per report.
"""
import argparse
import json
import pathlib
import re
import sys

MAX_CPU_S = 400.0
MIN_SHARE = 0.5
# Limit on the wait of the largest jobs. Reports give waits per class only, so a class that exceeds it does
# not fail the day.
MAX_LARGEST_JOB_WAIT_S = 240.0


def read_limits(site):
    """Reads the memory limit in MB and the socket limit of a controller from the site file."""
    text = site.read_text()

    def number(key):
        match = re.search(rf"^{key} = ([\d.]+)", text, re.M)
        return float(match.group(1)) if match else None

    return {"memory": number("memory_mb"), "sockets": number("max_connections")}


def served_shares(report):
    """Returns (share, description, number of jobs) per class and team, lowest share first."""
    shares = []
    for name, jobs in report.get("classes", {}).items():
        total = jobs["jobs"] - jobs.get("cancelled", 0)
        if total > 0:
            for outcome in ("started", "done"):
                shares.append((min(jobs[outcome] / total, 1.0), f"class {name} {outcome}", total))
    for name, jobs in report.get("teams", {}).items():
        if jobs["jobs"] > 0:
            shares.append((jobs["started"] / jobs["jobs"], f"team {name} started", jobs["jobs"]))
    return sorted(shares)


def cpu_seconds(report):
    """Returns the processor seconds of the controllers, and their sum with those of the simulated world."""
    spent = report.get("spent", {})
    controllers_s = sum(spent.get("processes", [0.0]))
    return controllers_s, controllers_s + sum(spent.get("world", [0.0]))


def evaluate(report, limits):
    """Returns the shares, the lines to print, and the reasons for which the day fails."""
    lines, failures = [], []
    shares = served_shares(report)
    for share, description, total in shares:
        lines.append(f"  {share:5.2f}  {description} (of {total})")
        if share < MIN_SHARE:
            failures.append(f"{description}: {share:.2f}")
    for name, jobs in report.get("classes", {}).items():
        longest = jobs.get("wait_s", {}).get("max") or 0.0
        if longest > MAX_LARGEST_JOB_WAIT_S:
            lines.append(
                f"  class {name}: the longest wait is {longest:.0f} s; "
                f"the largest jobs must start within {MAX_LARGEST_JOB_WAIT_S:.0f} s"
            )
    broken = report.get("rules_broken", {})
    if broken.get("total", 0):
        failures.append(f"rules broken: {broken.get('by_kind')}")
    controllers_s, total_s = cpu_seconds(report)
    lines.append(
        f"  processor time {controllers_s:.0f} s in the controllers, {total_s:.0f} of {MAX_CPU_S:.0f} s in total"
    )
    if total_s >= MAX_CPU_S:
        failures.append(f"processor time: {total_s:.0f} s")
    nodes = report.get("node_stats", [])
    for resource, key in (("memory", "memory_peak_mb"), ("sockets", "connections_peak")):
        peak = max((node.get(key, 0) for node in nodes), default=0)
        limit = limits.get(resource)
        lines.append(f"  {resource}: {peak:g}" + (f" of {limit:g}" if limit else ""))
        if limit and peak > limit:
            failures.append(f"{resource}: {peak:g} of {limit:g}")
    exits = [restart for node in nodes for restart in node.get("restarts", []) if restart.get("why") != "fault"]
    panics = sum(node.get("panics", 0) for node in nodes)
    if exits or panics:
        failures.append(f"{len(exits)} unexpected process exits, {panics} panics")
    return shares, lines, failures


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("reports", type=pathlib.Path, nargs="+")
    parser.add_argument("--site", type=pathlib.Path)
    parser.add_argument("--table", action="store_true")
    options = parser.parse_args()
    limits = read_limits(options.site) if options.site else {}
    any_failed = False
    for path in options.reports:
        try:
            report = json.loads(path.read_text())
        except (OSError, ValueError) as error:
            sys.exit(f"read_report: {path}: {error}")
        shares, lines, failures = evaluate(report, limits)
        any_failed |= bool(failures)
        if options.table:
            lowest = f"{shares[0][0]:.2f} {shares[0][1]}" if shares else "none"
            controllers_s, total_s = cpu_seconds(report)
            print(f"| {path.stem} | {lowest} | {controllers_s:.0f}, {total_s:.0f} | {'; '.join(failures) or 'counts'} |")
            continue
        print(f"{path}: {report.get('machines')} machines, {report.get('nodes')} controllers")
        print("\n".join(lines))
        print(f"  {'FAILS: ' + '; '.join(failures) if failures else 'counts'}")
    sys.exit(1 if any_failed else 0)


if __name__ == "__main__":
    main()
