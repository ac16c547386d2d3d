#!/usr/bin/env python3
"""Play days of sites on several seeds and compare two commits on the same seeds.

    tools/heavy_days.py play BENCH SITE... [--days D,D] [--seeds A..B] [--jobs N] [--why TEXT]
    tools/heavy_days.py table ENTRY... [--against ENTRY...]

`play` runs the users' bench, a program outside this repository whose path is
given, once for each site, day and seed, in the repository where it is called.
Each play leaves its entry in `journal/`; `table` makes a table of such entries,
and with `--against` sets those of another commit beside them: only plays with
the same site, day and seed are compared. A play counts as bad where a rule is
broken or its row is short of the gate.
"""

import argparse
import collections
import json
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HEAVY_DAYS = "scale-1,scale-2,trouble-3"
# A play takes ten to twenty seconds of one core on the small sites.
PLAY_TIMEOUT_S = 600

Play = collections.namedtuple("Play", "site day seed worth bad")


def seeds_of(text):
    """Get the seeds of a range such as `11..16`, its end included."""
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def run_one(options, site, day, seed):
    command = [options.bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    if options.why:
        command += ["--why", options.why]
    done = subprocess.run(command, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S)
    if done.returncode != 0:
        print(f"{Path(site).stem} {day} {seed}: {done.stderr.strip()[-300:]}", file=sys.stderr)
    return done.returncode == 0


def play(options):
    plays = [
        (site, day, seed)
        for site in options.sites
        for day in options.days.split(",")
        for seed in seeds_of(options.seeds)
    ]
    before = set(Path("journal").glob("*.json"))
    with ThreadPoolExecutor(options.jobs) as pool:
        done = list(pool.map(lambda each: run_one(options, *each), plays))
    entries = sorted(set(Path("journal").glob("*.json")) - before)
    print_table(read_plays(entries), {})
    print(f"{done.count(False)} of {len(done)} plays gave no entry to count")


def read_plays(paths):
    """Get the plays of the entries, by what they are compared by."""
    plays = {}
    for path in paths:
        entry = json.loads(Path(path).read_text())
        for day in entry.get("days") or []:
            broken = sorted(name for name, count in (day.get("rules") or {}).items() if count)
            bad = broken + [f"short: {text}" for text in day.get("short") or []]
            if day.get("fault"):
                bad.append(f"fault: {day['fault']}")
            play = Play(entry["site"], day["name"], day["seed"], day["G"], bad)
            plays[play.site, play.day, play.seed] = play
    return plays


def print_table(plays, against):
    groups = collections.defaultdict(list)
    for key in sorted(plays):
        groups[key[0], key[1]].append(key)
    for (site, day), keys in groups.items():
        worths = " ".join(f"{plays[key].worth:.3f}" for key in keys)
        mean = statistics.mean(plays[key].worth for key in keys)
        bad = [key for key in keys if plays[key].bad]
        line = f"{site} {day}: mean {mean:.3f} of {len(keys)} ({worths}), {len(bad)} bad"
        pairs = [key for key in keys if key in against]
        if pairs:
            change = statistics.mean(plays[key].worth - against[key].worth for key in pairs)
            line += f", {change:+.3f} on {len(pairs)} same plays"
        print(line)
        for key in bad:
            print(f"  seed {key[2]}: {'; '.join(map(str, plays[key].bad))}")
    if plays:
        print(f"all: mean {statistics.mean(play.worth for play in plays.values()):.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    verbs = parser.add_subparsers(required=True)
    playing = verbs.add_parser("play")
    playing.add_argument("bench")
    playing.add_argument("sites", nargs="+", metavar="SITE")
    playing.add_argument("--days", default=HEAVY_DAYS)
    playing.add_argument("--seeds", default="11..16")
    playing.add_argument("--jobs", type=int, default=4)
    playing.add_argument("--why", default="")
    playing.set_defaults(act=play)
    tabling = verbs.add_parser("table")
    tabling.add_argument("entries", nargs="+", metavar="ENTRY")
    tabling.add_argument("--against", nargs="*", default=[], metavar="ENTRY")
    tabling.set_defaults(
        act=lambda options: print_table(read_plays(options.entries), read_plays(options.against))
    )
    options = parser.parse_args()
    options.act(options)


if __name__ == "__main__":
    main()
