#!/usr/bin/env python3
"""Runs the proofs of the promises against real processes (docs/PROMISES.md)."""
import argparse
import importlib
import os
import shutil
import sys
import tempfile
import time
import traceback

from testsite import NoAnswer, NotHeld
from testsite.proof import PROOFS, SiteMaker

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROOF_FOLDER = os.path.join(ROOT, "tests", "site")


def load_proofs():
    sys.path.insert(0, PROOF_FOLDER)
    for name in sorted(os.listdir(PROOF_FOLDER)):
        if name.startswith("prove_") and name.endswith(".py"):
            importlib.import_module(name[:-3])


def known_red():
    """Names of the tests listed in KNOWN-RED.txt: the first word of each entry's line."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path) as stream:
        return {line.split()[0].rstrip(":") for line in stream
                if line.strip() and not line.startswith(("#", " "))}


def run(proof, options, folder):
    """Returns whether the proof held and what it showed."""
    try:
        return True, proof.run(SiteMaker(options.build, folder, options.seed))
    except (NotHeld, NoAnswer) as error:
        return False, str(error)
    except Exception:  # a proof that fails in another way does not end the others
        return False, traceback.format_exc().strip().replace("\n", " | ")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--keep", action="store_true", help="keep logs and journals")
    parser.add_argument("names", nargs="*", help="proofs to run; all if none is named")
    options = parser.parse_args()
    load_proofs()
    chosen = [proof for proof in PROOFS if not options.names or proof.name in options.names]
    red = known_red()
    base = tempfile.mkdtemp(prefix="cassiaroad-prove-")
    broken = []
    for proof in chosen:
        start = time.monotonic()
        held, shown = run(proof, options, os.path.join(base, proof.name))
        known = not held and proof.name in red
        result = "held" if held else "BROKEN (known)" if known else "BROKEN"
        print("%s | %s | %s | %s | seed %d | %.1f s | %s"
              % (proof.promise, proof.failure, proof.name, result, options.seed,
                 time.monotonic() - start, shown), flush=True)
        if not held and not known:
            broken.append(proof.name)
    if options.keep or broken:
        print("logs and journals: " + base)
    else:
        shutil.rmtree(base, ignore_errors=True)
    print("%d proofs, %d broken and not known" % (len(chosen), len(broken)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
