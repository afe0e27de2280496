"""Runs the load tool and evaluates its reports."""
import json
import os
import subprocess

MARGIN = 30  # seconds that a run may take longer than the time in which it sends


def run_load(build, targets, seconds, rate, *arguments, seed=1, warmup_ms=500):
    """Sends `rate` requests per second to the targets in round-robin order. Returns the report."""
    command = [os.path.join(build, "load"), "--seconds", str(seconds), "--rate", str(rate),
               "--seed", str(seed), "--warmup-ms", str(warmup_ms)]
    for target in targets:
        command += ["--target", target]
    completed = subprocess.run(command + [str(one) for one in arguments], capture_output=True,
                               text=True, timeout=seconds + MARGIN, check=True)
    return json.loads(completed.stdout)


def answered_share(report):
    """Share of the counted requests that were answered; 0 if there are none."""
    total = sum(report["outcomes"].values())
    return report["outcomes"].get("answered", 0) / total if total else 0.0


def highest_rate(run, start, p99_limit_ms, steps, refinements=2):
    """Searches the highest rate at which p99 is at most `p99_limit_ms` and at least 99 of 100
    requests are answered. `run(rate)` returns a report. The rate grows by half until a run misses
    the limits; then the interval between the last rate that held, or 0, and the last that did not
    is halved `refinements` times. Makes at most `steps` runs before that. Returns the rate, or
    None, and a note on the last runs that held and that did not."""
    held, failed, rate = None, None, start
    left = steps
    while left > 0:
        report = run(rate)
        left -= 1
        if holds(report, p99_limit_ms):
            held = (rate, report)
        else:
            left = refinements if failed is None else left
            failed = (rate, report)
        rate = rate * 1.5 if failed is None else ((held[0] if held else 0) + failed[0]) / 2
    return held and held[0], "; ".join(
        "%.0f/s: p99 %.1f ms, answered %.4f" % (one[0], one[1]["p99_ms"], answered_share(one[1]))
        for one in (held, failed) if one)


def holds(report, p99_limit_ms):
    """Whether a report is within the limits of highest_rate()."""
    return report["p99_ms"] <= p99_limit_ms and answered_share(report) >= 0.99
