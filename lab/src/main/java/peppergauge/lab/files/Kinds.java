package peppergauge.lab.files;

import java.util.List;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.fleet.file.FleetFile;
import peppergauge.lab.scenario.Scenario;
import peppergauge.nomad.NomadFile;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.snapshot.SnapshotSection;
import peppergauge.thrift.file.ThriftSection;

/**
 * All kinds of operator files there are, and the sections of each. A subsystem adds its own here, and then
 * {@code deploy/examples/} and {@code docs/OPERATOR-FILES.md} from what {@code peppergauge schema} prints.
 */
public final class Kinds {

    private static final FileKind SCENARIO = new FileKind(
            "scenario", "A rehearsed incident: a fleet, its clients, and what goes wrong when.", Scenario.sections());

    private static final FileKind SIDECAR =
            new FileKind("sidecar", "What an installation adds to the plain sidecar.", List.of(new SnapshotSection()));

    private Kinds() {}

    public static OperatorFiles all() {
        return new OperatorFiles(
                List.of(SCENARIO, DaemonFile.KIND, NomadFile.KIND, ThriftSection.KIND, SIDECAR, FleetFile.KIND));
    }
}
