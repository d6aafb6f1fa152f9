#!/usr/bin/env python3
"""Makes a larger site file out of one that the operators gave.

    tools/scale_site.py SITE.toml OUT.toml [--times 2] [--nodes 7] [--zones a,b,c] [--restart 0.2]

Machines, arrivals, first jobs, teams' cores and the state service's limits grow
by --times. With --nodes there are so many controllers. With --zones machines and
controllers are spread over these zones instead. With --restart a controller that
ended is started again after so many seconds. Write OUT outside the repository:
nothing of the operators' files belongs into it. The file of wire words stays
where it is and is named by its full path.
"""
import argparse
import pathlib
import re
import sys



def scaled(text, times):
    if "." in text:
        value = f"{float(text) * times:.6g}"
        return value if "." in value else value + ".0"
    return str(max(0, round(int(text) * times)))


def spread_capacity(blocks, zones):
    """The machines of each type dealt evenly over the zones."""
    kinds = {}
    for block in blocks:
        kind = re.search(r'^type = "(.+)"', block, re.M).group(1)
        have = kinds.setdefault(kind, {"count": 0, "spot": 0})
        for key in have:
            found = re.search(rf"^{key} = (\d+)", block, re.M)
            have[key] += int(found.group(1)) if found else 0
    out = []
    for kind, have in kinds.items():
        for at, zone in enumerate(zones):
            share = {key: n // len(zones) + (at < n % len(zones)) for key, n in have.items()}
            out.append(
                f'[[capacity]]\ntype = "{kind}"\nzone = "{zone}"\ncount = {share["count"]}\nspot = {share["spot"]}\n'
            )
    return out


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("site", type=pathlib.Path)
    args.add_argument("out", type=pathlib.Path)
    args.add_argument("--times", type=float, default=1.0)
    args.add_argument("--nodes", type=int)
    args.add_argument("--restart", type=float)
    args.add_argument("--zones", type=lambda text: text.split(","))
    opt = args.parse_args()
    repository = pathlib.Path(__file__).resolve().parent.parent
    if repository in opt.out.resolve().parents:
        sys.exit("scale_site: OUT must lie outside the repository")
    blocks = re.split(r"(?m)^(?=\[)", opt.site.read_text())
    capacity = [b for b in blocks if b.startswith("[[capacity]]")]
    out, placed, started = [], False, 0
    old_zones = []
    for block in blocks:
        head = block.split("\n", 1)[0].strip()

        def grow(pattern):
            return re.sub(pattern, lambda m: m.group(1) + scaled(m.group(2), opt.times), block, flags=re.M)

        if head == "[nodes]":
            old_zones = re.findall(r'"([^"]+)"', re.search(r"^zones = \[(.*)\]", block, re.M).group(1))
            if opt.nodes:
                block = re.sub(r"^count = \d+", f"count = {opt.nodes}", block, flags=re.M)
            if opt.restart is not None:
                block = re.sub(r"^restart_delay_s = .*", f"restart_delay_s = {opt.restart}", block, flags=re.M)
            if opt.zones:
                names = ", ".join(f'"{zone}"' for zone in opt.zones)
                block = re.sub(r"^zones = \[.*\]", f"zones = [{names}]", block, flags=re.M)
        elif head == "[state]":
            block = grow(r"^((?:write_)?rps = )([\d.]+)")
        elif head == "[[capacity]]":
            block = grow(r"^((?:count|spot|initial) = )(\d+)")
            if opt.zones:
                if placed:
                    continue
                placed = True
                grown = [re.sub(r"^((?:count|spot) = )(\d+)", lambda m: m.group(1) + scaled(m.group(2), opt.times), b,
                                flags=re.M) for b in capacity]
                block = "\n".join(spread_capacity(grown, opt.zones)) + "\n"
        elif head == "[[machines]]":
            # Up at the start; dealt over the zones one entry after the other.
            block = grow(r"^(count = )(\d+)")
            if opt.zones:
                zone = opt.zones[started % len(opt.zones)]
                block = re.sub(r'^zone = ".*"', f'zone = "{zone}"', block, flags=re.M)
                started += 1
        elif head == "[[teams]]":
            block = grow(r"^(cpus(?:_max)? = )([\d.]+)")
        elif head == "[[jobs]]":
            block = grow(r"(\brate = )([\d.]+)")
            block = re.sub(r"^(initial = )(\d+)", lambda m: m.group(1) + scaled(m.group(2), opt.times), block, flags=re.M)
        elif head == "[[day]]" and opt.zones:
            for at, zone in enumerate(old_zones):
                block = block.replace(f'"{zone}"', f'"{opt.zones[at % len(opt.zones)]}"')
        if not head.startswith("["):
            wire = lambda m: f'wire = "{(opt.site.parent / m.group(1)).resolve()}"'
            block = re.sub(r'^wire = "(.+)"', wire, block, flags=re.M)
        out.append(block)
    opt.out.write_text("".join(out))


if __name__ == "__main__":
    main()
