#!/usr/bin/env python3
"""Writes a scaled copy of an operators' site file.

    tools/scale_site.py SITE.toml OUT.toml [--times 2] [--nodes 7] [--zones a,b,c] [--restart 0.2]

--times multiplies the machines, the job arrival rates, the initial jobs, the teams'
cores and the rate limits of the state service. --nodes sets the number of controllers.
--zones distributes machines and controllers over these zones instead. --restart sets
the delay in seconds before an exited controller is restarted. OUT must lie outside the
repository, because operators' files must not be added to it. The file of wire names
is not copied: OUT refers to it by its absolute path.
"""
import argparse
import pathlib
import re
import sys


def scale_number(text, factor):
    """Multiplies a number in TOML notation; an integer stays an integer."""
    if "." in text:
        value = f"{float(text) * factor:.6g}"
        return value if "." in value else value + ".0"
    return str(max(0, round(int(text) * factor)))


def spread_capacity(blocks, zones):
    """Returns capacity blocks that distribute the machines of each type evenly over the zones."""
    counts_by_type = {}
    for block in blocks:
        machine_type = re.search(r'^type = "(.+)"', block, re.M).group(1)
        counts = counts_by_type.setdefault(machine_type, {"count": 0, "spot": 0})
        for key in counts:
            match = re.search(rf"^{key} = (\d+)", block, re.M)
            counts[key] += int(match.group(1)) if match else 0
    out = []
    for machine_type, counts in counts_by_type.items():
        for index, zone in enumerate(zones):
            share = {key: n // len(zones) + (index < n % len(zones)) for key, n in counts.items()}
            out.append(
                f'[[capacity]]\ntype = "{machine_type}"\nzone = "{zone}"\ncount = {share["count"]}\nspot = {share["spot"]}\n'
            )
    return out


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--times", type=float, default=1.0)
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--restart", type=float)
    parser.add_argument("--zones", type=lambda text: text.split(","))
    options = parser.parse_args()
    repository = pathlib.Path(__file__).resolve().parent.parent
    if repository in options.out.resolve().parents:
        sys.exit("scale_site: OUT must lie outside the repository")
    blocks = re.split(r"(?m)^(?=\[)", options.site.read_text())
    capacity = [block for block in blocks if block.startswith("[[capacity]]")]
    out, capacity_written, machine_entries = [], False, 0
    old_zones = []
    for block in blocks:
        header = block.split("\n", 1)[0].strip()

        def scale_matches(pattern):
            return re.sub(pattern, lambda m: m.group(1) + scale_number(m.group(2), options.times), block, flags=re.M)

        if header == "[nodes]":
            old_zones = re.findall(r'"([^"]+)"', re.search(r"^zones = \[(.*)\]", block, re.M).group(1))
            if options.nodes:
                block = re.sub(r"^count = \d+", f"count = {options.nodes}", block, flags=re.M)
            if options.restart is not None:
                block = re.sub(r"^restart_delay_s = .*", f"restart_delay_s = {options.restart}", block, flags=re.M)
            if options.zones:
                names = ", ".join(f'"{zone}"' for zone in options.zones)
                block = re.sub(r"^zones = \[.*\]", f"zones = [{names}]", block, flags=re.M)
        elif header == "[state]":
            block = scale_matches(r"^((?:write_)?rps = )([\d.]+)")
        elif header == "[[capacity]]":
            block = scale_matches(r"^((?:count|spot|initial) = )(\d+)")
            if options.zones:
                if capacity_written:
                    continue
                capacity_written = True
                scaled_capacity = [
                    re.sub(
                        r"^((?:count|spot) = )(\d+)",
                        lambda m: m.group(1) + scale_number(m.group(2), options.times),
                        entry,
                        flags=re.M,
                    )
                    for entry in capacity
                ]
                block = "\n".join(spread_capacity(scaled_capacity, options.zones)) + "\n"
        elif header == "[[machines]]":
            # Machines that run from the start: assigns entries to the zones in turn.
            block = scale_matches(r"^(count = )(\d+)")
            if options.zones:
                zone = options.zones[machine_entries % len(options.zones)]
                block = re.sub(r'^zone = ".*"', f'zone = "{zone}"', block, flags=re.M)
                machine_entries += 1
        elif header == "[[teams]]":
            block = scale_matches(r"^(cpus(?:_max)? = )([\d.]+)")
        elif header == "[[jobs]]":
            block = scale_matches(r"(\brate = )([\d.]+)")
            block = re.sub(
                r"^(initial = )(\d+)",
                lambda m: m.group(1) + scale_number(m.group(2), options.times),
                block,
                flags=re.M,
            )
        elif header == "[[day]]" and options.zones:
            for index, zone in enumerate(old_zones):
                block = block.replace(f'"{zone}"', f'"{options.zones[index % len(options.zones)]}"')
        if not header.startswith("["):
            absolute_path = lambda m: f'wire = "{(options.site.parent / m.group(1)).resolve()}"'
            block = re.sub(r'^wire = "(.+)"', absolute_path, block, flags=re.M)
        out.append(block)
    options.out.write_text("".join(out))


if __name__ == "__main__":
    main()
