#!/usr/bin/env python3
"""Counts how the requests of some seconds of a day ended, by what happened at each of their tries.

    causes.py LOG FROM_S TO_S [--examples N]

LOG is what `fleetbench run SITE DAY --log all` printed. A row has the outcome, the reason if there is
one, whether the answer was in time, and the reasons of the tries that failed before.
"""
import argparse
import collections
import json
import re

LINE = re.compile(r'\s+(-?[\d.]+) (\S+) (\{.*\})')
ENDS = ('answered', 'refused')
# Fields that every line of one request repeats.
SHARED_FIELDS = ('host', 'time_ms', 'at_ms', 'id')


def read_events(path):
    """Structured lines of all nodes as (time in s, node, fields)."""
    with open(path, encoding='utf-8', errors='replace') as log:
        for match in filter(None, map(LINE.match, log)):
            try:
                yield float(match[1]), match[2], json.loads(match[3])
            except json.JSONDecodeError:
                continue


def outcome_of(events):
    """The row of a request: how it ended, and why its tries failed; none if it has not ended."""
    ended = [fields for _at_s, _node, fields in events if fields['event'] in ENDS]
    if not ended:
        return None
    last = ended[-1]
    missed = tuple(fields['reason'] for _at_s, _node, fields in events if fields['event'] == 'missed')
    # The bench names a call that a backend server makes after the request that made it.
    kind = 'nested' if '.' in last['id'] else 'caller'
    return kind, last['event'], last.get('status') or last.get('reason'), last.get('in_time'), missed


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('log')
    parser.add_argument('from_s', type=float)
    parser.add_argument('to_s', type=float)
    parser.add_argument('--examples', type=int, default=0)
    args = parser.parse_args()
    requests = collections.defaultdict(list)
    for at_s, node, fields in read_events(args.log):
        if 'id' in fields:
            requests[fields['id']].append((at_s, node, fields))
    rows = collections.defaultdict(list)
    for events in requests.values():
        events.sort(key=lambda event: event[0])
        row = outcome_of(events)
        if row is not None and args.from_s <= events[-1][0] < args.to_s:
            rows[row].append(events)
    for row, ended in sorted(rows.items(), key=lambda item: -len(item[1])):
        kind, event, detail, in_time, missed = row
        punctual = {True: 'in time', False: 'late', None: ''}[in_time]
        print(f'{len(ended):5} {kind:7} {event:9} {detail!s:24} {punctual:8} {" > ".join(missed)}')
        for events in ended[:args.examples]:
            for at_s, node, fields in events:
                shown = {name: value for name, value in fields.items() if name not in SHARED_FIELDS}
                print(f'        {at_s:9.4f} {node} {shown}')


if __name__ == '__main__':
    main()
