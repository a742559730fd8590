#!/bin/bash
# play.sh FOLDER NAME: plays a case and leaves its record in review/FOLDER/record.txt. It exits with 1 if the rule was broken,
# with 0 if it held, and with 2 if the case could not run. TROUBLE=0 plays it without its disruption. All instances end with
# the rig, which ends after 110 seconds at most.
set -u
cd "$(dirname "$0")/.."
run=$(sed -nE 's/^run = "([^"]*)".*/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || ! [ -x bin/sandyard ] || ! [ -x review/bin/rig ]; then
	echo "play: run the build of deploy/balancer.toml and review/build.sh first" >&2
	exit 2
fi
calm=()
[ "${TROUBLE:-1}" != 0 ] || calm=(-calm)
timeout --kill-after=5 110 review/bin/rig -case "$2" -run "$run" -record "review/$1/record.txt" "${calm[@]}"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
