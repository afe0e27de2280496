#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
exec timeout --signal=TERM --kill-after=2 116 python3 run.py
