#!/usr/bin/env python3
"""Reads reports of the operators' bench and says whether their days would count.

    tools/read_report.py REPORT.json ... [--site SITE.toml] [--threads 2000] [--table]

For each report (`run SITE DAY --report FILE`): the share of jobs started and done of
each class, and of jobs started of each team (reports do not say what a team's jobs
came to); broken rules; processes that ended by themselves; processor time against
the 400 s that a day may need, with the world's share; and, with the site file, the
most memory and sockets of any controller against their limits. Jobs that were
cancelled count nowhere. Exits with 1 if a day fails: a rule is broken, a class or
team is served to less than half, or the time is used up. With --table, one line of
a Markdown table for each report.
"""
import argparse
import json
import pathlib
import re
import sys

MOST_CPU_S = 400.0
LEAST_SHARE = 0.5
# The largest jobs must begin within this time; reports tell waits by class only.
LARGEST_BEGIN_S = 240.0


def limits_of(site):
    """Memory in MB and sockets that a controller may use, by the site file."""
    text = site.read_text()

    def number(key):
        found = re.search(rf"^{key} = ([\d.]+)", text, re.M)
        return float(found.group(1)) if found else None

    return {"memory": number("memory_mb"), "sockets": number("max_connections")}


def shares_of(report):
    """Least first: (share, what, of how many)."""
    shares = []
    for name, jobs in report.get("classes", {}).items():
        came = jobs["jobs"] - jobs.get("cancelled", 0)
        if came > 0:
            for what in ("started", "done"):
                shares.append((min(jobs[what] / came, 1.0), f"class {name} {what}", came))
    for name, jobs in report.get("teams", {}).items():
        if jobs["jobs"] > 0:
            shares.append((jobs["started"] / jobs["jobs"], f"team {name} started", jobs["jobs"]))
    return sorted(shares)


def cpu_of(report):
    """Processor seconds: of the controllers' own code, and of all that counts."""
    spent = report.get("spent", {})
    own = sum(spent.get("processes", [0.0]))
    return own, own + sum(spent.get("world", [0.0]))


def judge(report, limits):
    """What is to be told, and what fails the day."""
    lines, wrong = [], []
    shares = shares_of(report)
    for share, what, of in shares:
        lines.append(f"  {share:5.2f}  {what} (of {of})")
        if share < LEAST_SHARE:
            wrong.append(f"{what}: {share:.2f}")
    for name, jobs in report.get("classes", {}).items():
        longest = jobs.get("wait_s", {}).get("max") or 0.0
        if longest > LARGEST_BEGIN_S:
            lines.append(f"  class {name}: the longest wait is {longest:.0f} s; the largest jobs must begin in {LARGEST_BEGIN_S:.0f} s")
    broken = report.get("rules_broken", {})
    if broken.get("total", 0):
        wrong.append(f"rules broken: {broken.get('by_kind')}")
    own, spent = cpu_of(report)
    lines.append(f"  processor time {own:.0f} s in the controllers, {spent:.0f} of {MOST_CPU_S:.0f} s in all")
    if spent >= MOST_CPU_S:
        wrong.append(f"processor time: {spent:.0f} s")
    nodes = report.get("node_stats", [])
    for what, key in (("memory", "memory_peak_mb"), ("sockets", "connections_peak")):
        most = max((node.get(key, 0) for node in nodes), default=0)
        limit = limits.get(what)
        lines.append(f"  {what}: {most:g}" + (f" of {limit:g}" if limit else ""))
        if limit and most > limit:
            wrong.append(f"{what}: {most:g} of {limit:g}")
    ends = [end for node in nodes for end in node.get("restarts", []) if end.get("why") != "fault"]
    panics = sum(node.get("panics", 0) for node in nodes)
    if ends or panics:
        wrong.append(f"{len(ends)} processes ended by themselves, {panics} panics")
    return shares, lines, wrong


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("reports", type=pathlib.Path, nargs="+")
    args.add_argument("--site", type=pathlib.Path)
    args.add_argument("--table", action="store_true")
    opt = args.parse_args()
    limits = limits_of(opt.site) if opt.site else {}
    failed = False
    for path in opt.reports:
        try:
            report = json.loads(path.read_text())
        except (OSError, ValueError) as error:
            sys.exit(f"read_report: {path}: {error}")
        shares, lines, wrong = judge(report, limits)
        failed |= bool(wrong)
        if opt.table:
            least = f"{shares[0][0]:.2f} {shares[0][1]}" if shares else "none"
            own, spent = cpu_of(report)
            print(f"| {path.stem} | {least} | {own:.0f}, {spent:.0f} | {'; '.join(wrong) or 'counts'} |")
            continue
        print(f"{path}: {report.get('machines')} machines, {report.get('nodes')} controllers")
        print("\n".join(lines))
        print(f"  {'FAILS: ' + '; '.join(wrong) if wrong else 'counts'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
