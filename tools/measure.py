#!/usr/bin/env python3
"""Measures the built programs: placement, request path, control, changes and ledger."""
import argparse
import os
import shutil
import signal
import sys
import tempfile
import time

from measure import busy, capacity, changes, ledger, placement, requestpath, slopes

# Placement runs in the background from the start, since the processes of the slopes are idle.
PARTS = {"slopes": slopes.measure, "placement": None, "busy": busy.measure,
         "requestpath": requestpath.measure, "changes": changes.measure, "ledger": ledger.measure}


class Context:
    """Options and folders that every part uses."""

    def __init__(self, options, folder):
        self.build = os.path.abspath(options.build)
        self.quick = options.quick
        self.results = os.path.abspath(options.results)
        self.folder = folder  # data of the sites; removed at the end


def show(context, tables, table):
    """Prints a table, writes it as CSV, and rewrites the Markdown file of all tables so far."""
    tables[table.name] = table
    table.write(context.results)
    table.print()
    with open(os.path.join(context.results, "figures.md"), "w") as stream:
        stream.write("\n".join(one.markdown() for one in tables.values()))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--quick", action="store_true", help="fewer and shorter runs")
    parser.add_argument("--results", default="measure-results", help="folder of the CSV files")
    parser.add_argument("--part", action="append", choices=PARTS, help="only this part")
    options = parser.parse_args()
    # SIGTERM raises an exception, so that every process that was started is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped by a signal"))
    os.makedirs(options.results, exist_ok=True)
    folder = tempfile.mkdtemp(prefix="cassiaroad-measure-")
    context = Context(options, folder)
    start = time.monotonic()
    tables = {}
    parts = {name: PARTS[name] for name in options.part or PARTS}
    bench = None
    try:
        if "placement" in parts:
            bench = placement.Placement(context)
            parts["placement"] = bench.measure
        for name, measure in parts.items():
            started_at = time.monotonic()
            for table in measure(context):
                show(context, tables, table)
            print("%s took %.1f s" % (name, time.monotonic() - started_at), flush=True)
        if not options.part:
            show(context, tables, capacity.measure(tables))
    finally:
        if bench is not None:
            bench.stop()
        shutil.rmtree(folder)
    failed = any("not measured" in str(row[-1]) for table in tables.values() for row in table.rows)
    print("\nall parts took %.1f s%s" % (time.monotonic() - start,
                                         "; some figures were not measured" if failed else ""))
    return 0


if __name__ == "__main__":
    sys.exit(main())
