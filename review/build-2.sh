#!/bin/bash
# Builds the stand-ins of the review cases 6 to 10, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins ./review/standins
