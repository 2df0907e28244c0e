"""Plays days of a deployment on the bench and reads their reports.

The environment variable FLEETBENCH names the bench program.
"""
import concurrent.futures
import dataclasses
import json
import os
import re
import subprocess
import sys
import tempfile


@dataclasses.dataclass(frozen=True)
class Play:
    """One day of one deployment under one seed, on the build of one checkout."""

    tree: str
    site: str
    day: str
    # None plays the day with the seed of the site file.
    seed: int | None
    # Whether the processor time that the code takes is left out, which makes runs repeatable.
    no_cpu: bool = True


def bench_program():
    program = os.environ.get('FLEETBENCH')
    if program is None:
        sys.exit('the environment variable FLEETBENCH must name the bench program')
    return os.path.abspath(program)


def days_of(site, kinds=None):
    """Names of the standard days of a site file, of some kinds (slots) or all."""
    text = open(site, encoding='utf-8').read()
    days = re.findall(r'\[\[day\]\]\nname = "([^"]+)"\nslot = "([^"]+)"', text)
    return [name for name, slot in days if kinds is None or slot in kinds]


def play(one, why):
    """Plays one day; returns its report, or the text that the bench printed in place of one."""
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        command = [bench_program(), 'run', os.path.abspath(one.site), one.day, '--jobs', '1',
                   '--report', report.name, '--why', why]
        command += [] if one.seed is None else ['--seed', str(one.seed)]
        command += ['--no-cpu'] if one.no_cpu else []
        done = subprocess.run(command, cwd=one.tree, capture_output=True, text=True)
        text = open(report.name, encoding='utf-8').read()
    if not text:
        return f'{done.stdout[-600:]}{done.stderr[-600:]}'
    return json.loads(text)


def play_all(plays, jobs, why):
    """Plays several days at a time; returns the reports by play and ends if one is missing."""
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        reports = dict(zip(plays, pool.map(lambda one: play(one, why), plays)))
    for one, report in reports.items():
        if isinstance(report, str):
            sys.exit(f'{one}: no report\n{report}')
    return reports


def figures(report):
    """The figures of a report that comparisons use, by name."""
    parts = {name: value for name, _weight, value in report['parts']}
    whole = report['all']
    asked = max(1, whole['n'] - whole['not_owed'])
    return {
        'worth': report['G'],
        'worst windows': parts['worst windows'],
        'worst kind': parts.get('worst class', 1.0),
        'in aim': whole['in_aim'] / asked,
        'served': parts['served at all'],
        'refused': report['refused'],
        'failed': report['failed'],
        'prices': sum(parts[name] * weight for name, weight, _value in report['parts'])
        - report['G'],
    }
