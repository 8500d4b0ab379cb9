package peppergauge.daemon.part;

import java.util.List;

/**
 * All subsystems that the daemon's file can have. A further one is a line here; its section is then part of the file,
 * of {@code schema} and of the documents.
 *
 * <p>The order is that in which they stand round the sidecar, from the outside in: a session goes through the first
 * first; round the module and the backend the first stands outermost; started in this order, ended in this order.
 */
public final class Subsystems {

    public static final List<Subsystem> ALL = List.of(
            new Fleet(), new Plugins(), new Thrift(), new Snapshots(), new Nomad(), new ColdStart(), new Bodies());

    private Subsystems() {}
}
