#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")" && exec python3 -B case.py
