package peppergauge.daemon.subsystem;

import java.util.List;

/**
 * The subsystems that the daemon's file can have; a new one is added here and its sections become part of the file,
 * of {@code schema} and of the documents.
 *
 * <p>The order is from the outside in: a request passes the first first, the first wraps the others round load balancer
 * and backend, and they are started and stopped in this order.
 */
public final class Subsystems {

    public static final List<Subsystem> ALL = List.of(
            new FleetSubsystem(),
            new PluginSubsystem(),
            new ThriftSubsystem(),
            new SnapshotSubsystem(),
            new NomadSubsystem(),
            new StartupSubsystem(),
            new BodiesSubsystem());

    private Subsystems() {}
}
