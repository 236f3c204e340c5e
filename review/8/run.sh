#!/bin/sh
# Plays the case and writes record.txt; TROUBLE=0 plays it without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
