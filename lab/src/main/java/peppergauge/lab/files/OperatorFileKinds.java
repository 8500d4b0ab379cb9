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
 * The registry of all kinds of operator files with their sections. A subsystem registers its kinds and sections here;
 * {@code deploy/examples/} and {@code docs/OPERATOR-FILES.md} are then updated from the output of
 * {@code peppergauge schema}.
 */
public final class OperatorFileKinds {

    private static final FileKind SCENARIO = new FileKind(
            "scenario", "A rehearsed incident: a fleet, its clients, and what goes wrong when.", Scenario.sections());

    private static final FileKind SIDECAR =
            new FileKind("sidecar", "What an installation adds to the plain sidecar.", List.of(new SnapshotSection()));

    private OperatorFileKinds() {}

    /** A reader of all kinds of operator files. */
    public static OperatorFiles all() {
        return new OperatorFiles(
                List.of(SCENARIO, DaemonFile.KIND, NomadFile.KIND, ThriftSection.KIND, SIDECAR, FleetFile.KIND));
    }
}
