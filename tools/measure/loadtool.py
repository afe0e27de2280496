"""Runs of tools/load."""
import json
import os
import subprocess

MARGIN = 30  # seconds a run may take longer than the time it sends


def run_load(build, targets, seconds, rate, *arguments, seed=1, warmup_ms=500):
    """Sends requests at `rate` to the targets in turn and returns the report of the tool."""
    command = [os.path.join(build, "load"), "--seconds", str(seconds), "--rate", str(rate),
               "--seed", str(seed), "--warmup-ms", str(warmup_ms)]
    for target in targets:
        command += ["--target", target]
    done = subprocess.run(command + [str(one) for one in arguments], capture_output=True,
                          text=True, timeout=seconds + MARGIN, check=True)
    return json.loads(done.stdout)


def answered_share(report):
    """Share of the counted requests that were answered."""
    total = sum(report["outcomes"].values())
    return report["outcomes"].get("answered", 0) / total if total else 0.0


def highest_rate(run, start, bound_ms, steps, refinements=2):
    """Raises the rate of `run(rate)`, which returns a report, by half until p99 passes `bound_ms`
    or one request in 100 is not answered; then halves the gap to the highest rate that held, or to
    0. Returns that rate, or None, and a note on the rates that held and did not."""
    held, failed, rate = None, None, start
    left = steps
    while left > 0:
        report = run(rate)
        left -= 1
        if holds(report, bound_ms):
            held = (rate, report)
        else:
            left = refinements if failed is None else left
            failed = (rate, report)
        rate = rate * 1.5 if failed is None else ((held[0] if held else 0) + failed[0]) / 2
    return held and held[0], "; ".join(
        "%.0f/s: p99 %.1f ms, answered %.4f" % (one[0], one[1]["p99_ms"], answered_share(one[1]))
        for one in (held, failed) if one)


def holds(report, bound_ms):
    return report["p99_ms"] <= bound_ms and answered_share(report) >= 0.99
