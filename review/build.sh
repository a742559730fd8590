#!/bin/bash
# Builds the emulated peers and clients of the cases. It needs no network: the program has no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig
