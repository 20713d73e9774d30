#!/bin/sh
# Plays case 3. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/passtack ] && [ -x review/bin/standin ] || { echo "build first: deploy/balancer.toml and review/build.sh" >&2; exit 2; }
exec review/bin/standin 3
