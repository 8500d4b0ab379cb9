package peppergauge.nomad;

import java.util.List;
import peppergauge.operator.FileKind;

/** The kind of operator file that configures Nomad and membership. */
public final class NomadFile {

    /** A file with the sections {@code [nomad]} and {@code [membership]}. */
    public static final FileKind KIND = new FileKind(
            "nomad",
            "The server table from Nomad's service API: where it is, and what is believed of what it tells.",
            List.of(new NomadSection(), new MembershipSection()));

    private NomadFile() {}
}
