package peppergauge.daemon.subsystem;

import java.util.List;

/**
 * The subsystems that the daemon's operator file can configure. The sections of a subsystem that is added here become
 * part of the file, of the {@code schema} command and of the generated documentation.
 *
 * <p>The first subsystem is the outermost: it receives a request before the others and wraps what they add to the load
 * balancer and the backend. Subsystems are started and stopped in this order. The backend of Thrift stands beside the
 * HTTP backend, not inside it: an attempt at a Thrift server does not pass what the subsystems after Thrift add there.
 */
public final class Subsystems {

    public static final List<Subsystem> ALL = List.of(
            // Outermost, since it counts the responses that clients receive.
            new FleetSubsystem(),
            new PluginSubsystem(),
            new ThriftSubsystem(),
            new SnapshotSubsystem(),
            new NomadSubsystem(),
            new StartupSubsystem(),
            new BodiesSubsystem());

    private Subsystems() {}
}
