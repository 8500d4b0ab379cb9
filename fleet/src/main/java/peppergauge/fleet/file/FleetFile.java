package peppergauge.fleet.file;

import java.util.List;
import peppergauge.operator.FileKind;
import peppergauge.promises.file.ObjectiveSection;

/** The kind of operator file that makes the daemon's program an instance of the fleet service. */
public final class FleetFile {

    public static final FileKind KIND = new FileKind(
            "fleet",
            "One instance of the fleet service: it merges what daemons report, and hands out tables by what stations"
                    + " are promised.",
            List.of(new ServiceSection(), new ObjectiveSection()));

    private FleetFile() {}
}
