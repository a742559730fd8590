#!/bin/bash
# Plays the case of claim.txt (see review/play.sh): exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../play.sh" 3 short-length
