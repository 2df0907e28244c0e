#!/usr/bin/env python3
"""Compares two builds on the same days and seeds, with the spread of the differences.

    compare.py OLD_TREE NEW_TREE [--days NAME,...] [--kinds trouble,scale] [--seeds 7,8] SITE...

A tree is a checkout that was built. Each row is the mean of the paired differences, new less old,
and the interval that holds it with 95 % (bootstrap over the pairs).
"""
import argparse
import random
import statistics

import play

RESAMPLES = 2000


def interval(differences):
    """Bounds of the mean of the differences that hold in 95 % of resamplings."""
    draw = random.Random(1)
    count = len(differences)
    means = sorted(statistics.fmean(draw.choices(differences, k=count)) for _ in range(RESAMPLES))
    return means[RESAMPLES // 40], means[-RESAMPLES // 40 - 1]


def show(title, pairs):
    """Prints one line per figure for pairs of reports."""
    print(f'{title} ({len(pairs)} pairs)')
    old = [play.figures(before) for before, _after in pairs]
    new = [play.figures(after) for _before, after in pairs]
    for name in old[0]:
        differences = [after[name] - before[name] for before, after in zip(old, new)]
        low, high = interval(differences)
        old_mean = statistics.fmean(figures[name] for figures in old)
        mean = statistics.fmean(differences)
        print(f'  {name:14} {old_mean:7.3f} {mean:+7.3f}  [{low:+.3f} {high:+.3f}]')


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('old')
    parser.add_argument('new')
    parser.add_argument('sites', nargs='+')
    parser.add_argument('--days')
    parser.add_argument('--kinds', default='trouble,scale')
    parser.add_argument('--seeds', default='7')
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('--why', default='paired comparison')
    args = parser.parse_args()
    plays = []
    for site in args.sites:
        days = args.days.split(',') if args.days else play.days_of(site, args.kinds.split(','))
        plays += [(site, day, int(seed)) for day in days for seed in args.seeds.split(',')]
    trees = [play.Play(tree, *one) for one in plays for tree in (args.old, args.new)]
    reports = play.play_all(trees, args.jobs, args.why)
    pairs = {one: (reports[play.Play(args.old, *one)], reports[play.Play(args.new, *one)])
             for one in plays}
    for site, day in dict.fromkeys((site, day) for site, day, _seed in plays):
        rows = [pair for (s, d, _seed), pair in pairs.items() if (s, d) == (site, day)]
        worths = ' '.join(f'{a["G"]:.3f}>{b["G"]:.3f}' for a, b in rows)
        windows = statistics.fmean(play.figures(b)['worst windows'] - play.figures(a)['worst windows']
                                   for a, b in rows)
        print(f'{site.split("/")[-1]:32} {day:10} {worths}  worst windows {windows:+.3f}')
        broken = [name for _a, b in rows for name in b['breaks']]
        if broken:
            print(f'    broken rules: {broken}')
    for site in args.sites:
        show(site.split('/')[-1], [pair for (s, _d, _seed), pair in pairs.items() if s == site])
    show('all', list(pairs.values()))


if __name__ == '__main__':
    main()
