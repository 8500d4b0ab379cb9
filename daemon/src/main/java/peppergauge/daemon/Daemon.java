package peppergauge.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import peppergauge.ProcessFailure;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.daemon.file.LogSection;
import peppergauge.daemon.logging.JsonLogFormatter;
import peppergauge.fleet.file.FleetFile;
import peppergauge.fleet.file.ServiceSection;
import peppergauge.fleet.planner.Planner;
import peppergauge.fleet.planning.HitRateForecasts;
import peppergauge.fleet.planning.ObjectivePlanner;
import peppergauge.fleet.service.FleetService;
import peppergauge.fleet.service.FleetServiceConfig;
import peppergauge.log.Log;
import peppergauge.operator.ReadResult;
import peppergauge.operator.Values;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.file.ObjectiveSection;
import peppergauge.snapshot.storage.PosixFileSystem;

/** Entry point of the daemon: {@code daemon --config FILE}. docs/COMMANDS.md lists the exit codes. */
public final class Daemon {

    private Daemon() {}

    public static void main(String[] args) throws InterruptedException {
        if (args.length != 3 || !"daemon".equals(args[0]) || !"--config".equals(args[1])) {
            exit(2, "usage: peppergauge daemon --config FILE.toml");
            return;
        }
        try {
            Path file = Path.of(args[2]);
            ReadResult reading = DaemonFile.readAny(file);
            Values values = reading.values().orElseThrow();
            if (reading.kind().filter(FleetFile.KIND::equals).isPresent()) {
                runFleetService(values);
                return;
            }
            if (values.find(LogSection.TABLE)
                            .map(log -> log.get(LogSection.FORMAT))
                            .orElse(LogSection.Format.LINES)
                    == LogSection.Format.JSON) {
                JsonLogFormatter.install();
            }
            logInvariantChecks();
            RunningDaemon daemon = new RunningDaemon(file, values, () -> System.exit(0));
            daemon.sidecar().endProcessIfThreadFails();
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::shutDown, "shutdown"));
            daemon.installReload();
            daemon.start();
        } catch (IllegalArgumentException unusable) {
            exit(2, unusable.getMessage());
        } catch (IOException failed) {
            exit(1, failed.getMessage());
        }
    }

    /**
     * Logs that assertions are enabled, in which case invariant violations are reported and may end the thread that
     * finds them.
     */
    private static void logInvariantChecks() {
        boolean assertionsEnabled = false;
        assert assertionsEnabled = true;
        if (assertionsEnabled) {
            Log.event("invariants_checked", "enabled", true);
        }
    }

    /** Runs an instance of the fleet service, without a sidecar or load balancer. */
    private static void runFleetService(Values values) throws IOException, InterruptedException {
        FleetServiceConfig settings = ServiceSection.settings(values);
        Planner planner = new ObjectivePlanner(
                ObjectiveSection.objectives(values),
                ControllerConfig.withPeriod(settings.tables().intervalMs()),
                new HitRateForecasts());
        logInvariantChecks();
        ProcessFailure.endProcessOnUncaughtErrors();
        FleetService service = new FleetService(settings, planner, new PosixFileSystem(), System::currentTimeMillis);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(service), "shutdown"));
        // Keeps the process alive, since the service has daemon threads only.
        new CountDownLatch(1).await();
    }

    private static void close(FleetService service) {
        service.close();
        Log.flush();
    }

    private static void exit(int code, String reason) {
        reason.lines().forEach(line -> System.err.println("peppergauge: " + line));
        // Skips the shutdown hooks, since nothing has started that they could stop.
        Runtime.getRuntime().halt(code);
    }
}
