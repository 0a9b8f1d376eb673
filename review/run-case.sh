#!/bin/sh
# Plays a case of the rig: run-case.sh FOLDER CASE. With TROUBLE=0 it does so without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/.." && pwd) || exit 2
if [ ! -x "$here/bin/rig" ] || [ ! -x "$root/bin/eiderhaven" ]; then
	echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
exec "$here/bin/rig" -root "$root" -record "$here/$1/record.txt" -trouble "${TROUBLE:-1}" -seed "${SEED:-1}" "$2"
