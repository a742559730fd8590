#!/bin/bash
# Case 10: bad clients are served whose units are out of range. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x bin/review-standins ] || [ ! -x bin/sandyard ]; then
	echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
	exit 2
fi
exec bin/review-standins small-units "$here/record.txt"
