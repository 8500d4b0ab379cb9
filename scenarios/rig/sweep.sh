#!/bin/sh
# Fault schedules over daemons with promises, sampled keys and invariants, and three instances of the fleet service, as
# in docs/RIG.md:  scenarios/rig/sweep.sh --seeds 41001..41020 --history DIR
# From the root of a checkout that is built. Further options are FaultSweep's.
here=scenarios/rig
export PEPPERGAUGE_FLAGS=-ea:peppergauge...
# Where the kernel groups processes by session, the rig is a group apart from what else this shell has started.
if [ "${1-}" != in-group ]; then
    exec setsid -w "$0" in-group "$@"
fi
shift
exec java -Xmx400m -cp lab/target/peppergauge-lab.jar peppergauge.lab.rig.FaultSweep --file $here/cast.toml \
    --daemon $here/reader.toml --fleet 3 --fleet-file $here/instance.toml --fleet-ready /fleet/v1/status \
    --fleet-command 'exec bin/peppergauge daemon --config {dir}/fleet.toml' \
    --fleet-peer '[[service.peer]]
name = "{peer}"
address = "{link}"
' --rounds 20 "$@"
