#!/usr/bin/env python3
"""Scores every deployment and names what fell since the last committed table.

    gates.py [--jobs N] [--why TEXT] [--table FILE] [--write] SITE...

The table holds one line per deployment: its gate, and the mean worth of its days with trouble. With
--write the table is replaced by what was measured.
"""
import argparse
import os
import re
import statistics
import subprocess
import sys

import play

# A smaller change of the mean worth is noise.
FALL_MIN = 0.03
DAY_LINE = re.compile(r'^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s')


def score(site, jobs, why):
    """Scores a deployment; returns whether its gate passed and the worth of its days."""
    command = [play.bench_program(), 'score', os.path.abspath(site), '--jobs', str(jobs), '--why', why]
    done = subprocess.run(command, capture_output=True, text=True)
    print(done.stdout, file=sys.stderr, flush=True)
    matches = map(DAY_LINE.match, done.stdout.splitlines())
    worth = {match[1]: float(match[2]) for match in matches if match}
    return 'GATE passed' in done.stdout, worth


def read_table(path):
    """Mean worth by deployment from a table; empty if there is none."""
    if not os.path.exists(path):
        return {}
    rows = [line.split('|') for line in open(path, encoding='utf-8') if line.startswith('| ')]
    return {row[1].strip(): float(row[3]) for row in rows if re.fullmatch(r' -?[\d.]+ ', row[3])}


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('sites', nargs='+')
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('--why', default='all gates')
    parser.add_argument('--table', default='docs/GATES.md')
    parser.add_argument('--write', action='store_true')
    args = parser.parse_args()
    before = read_table(args.table)
    lines = ['# Gates', '', 'Written by `scripts/bench/gates.py --write`: each deployment scored once,',
             'and the mean worth of its standard days with trouble.', '',
             '| deployment | gate | worth | before |', '|---|---|---|---|']
    fallen = []
    for site in args.sites:
        name = os.path.basename(site).removesuffix('.toml')
        passed, worth = score(site, args.jobs, args.why)
        trouble = [worth[day] for day in play.days_of(site, ['trouble', 'scale']) if day in worth]
        mean = statistics.fmean(trouble) if trouble else 0.0
        known = before.get(name)
        lines.append(f'| {name} | {"passed" if passed else "FAILED"} | {mean:.3f} '
                     f'| {"" if known is None else f"{known:.3f}"} |')
        print(lines[-1], flush=True)
        if known is not None and known - mean > FALL_MIN:
            fallen.append(f'{name}: {known:.3f} to {mean:.3f}')
        if not passed:
            fallen.append(f'{name}: gate failed')
    if args.write:
        with open(args.table, 'w', encoding='utf-8') as table:
            table.write('\n'.join(lines) + '\n')
    sys.exit('\n'.join(fallen) if fallen else 0)


if __name__ == '__main__':
    main()
