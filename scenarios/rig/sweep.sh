#!/bin/sh
# Fault schedules over daemons with promises, sampled keys and invariants, and three instances of the fleet service, as
# in docs/RIG.md:  scenarios/rig/sweep.sh --seeds 41001..41020 --history DIR
# From the root of a checkout that is built. Further options are FaultSweep's.
here=scenarios/rig
export PEPPERGAUGE_FLAGS=-ea:peppergauge...
# The rig's own thread has all links; where the kernel groups processes by session it would get one share of thirty.
if [ "${1-}" != in-group ]; then
    exec setsid -w "$0" in-group "$@"
fi
shift
(echo -10 > /proc/self/autogroup) 2> /dev/null || echo "no weight for the rig's group: look at \"rig late\"" >&2
exec java -Xmx400m -cp lab/target/peppergauge-lab.jar peppergauge.lab.rig.FaultSweep --file $here/cast.toml \
    --daemon $here/reader.toml --fleet 3 --fleet-file $here/instance.toml --fleet-ready /fleet/v1/status \
    --fleet-command 'exec bin/peppergauge daemon --config {dir}/fleet.toml' \
    --fleet-peer '[[service.peer]]
name = "{peer}"
address = "{link}"
' --rounds 20 "$@"
