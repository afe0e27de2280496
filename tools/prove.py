#!/usr/bin/env python3
"""Runs the proofs of the promises in docs/PROMISES.md against real processes."""
import argparse
import importlib
import os
import shutil
import sys
import tempfile
import time
import traceback

from testsite import NoResponse, ExpectationFailed
from testsite.proof import PROOFS, SiteMaker

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROOF_FOLDER = os.path.join(ROOT, "tests", "site")


def load_proofs():
    """Imports the modules of the proofs, which register them."""
    sys.path.insert(0, PROOF_FOLDER)
    for name in sorted(os.listdir(PROOF_FOLDER)):
        if name.startswith("prove_") and name.endswith(".py"):
            importlib.import_module(name[:-3])


def known_failures():
    """Names of the tests listed in KNOWN-RED.txt, i.e. the first word of each entry."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path) as stream:
        return {line.split()[0].rstrip(":") for line in stream
                if line.strip() and not line.startswith(("#", " "))}


def run(proof, options, folder):
    """Runs a proof. Returns whether it held, and its summary or the reason why not."""
    try:
        return True, proof.run(SiteMaker(options.build, folder, options.seed))
    except (ExpectationFailed, NoResponse) as error:
        return False, str(error)
    except Exception:  # an error in one proof must not end the others
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
    known_names = known_failures()
    base = tempfile.mkdtemp(prefix="cassiaroad-prove-")
    broken = []
    for proof in chosen:
        start = time.monotonic()
        held, summary = run(proof, options, os.path.join(base, proof.name))
        known = not held and proof.name in known_names
        result = "held" if held else "BROKEN (known)" if known else "BROKEN"
        print("%s | %s | %s | %s | seed %d | %.1f s | %s"
              % (proof.promise, proof.failure, proof.name, result, options.seed,
                 time.monotonic() - start, summary), flush=True)
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
