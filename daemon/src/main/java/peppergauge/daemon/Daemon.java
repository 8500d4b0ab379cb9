package peppergauge.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.daemon.file.LogSection;
import peppergauge.daemon.lines.JsonLines;
import peppergauge.fleet.file.FleetFile;
import peppergauge.fleet.file.ServiceSection;
import peppergauge.fleet.planner.Planner;
import peppergauge.fleet.planning.HitRateForecasts;
import peppergauge.fleet.planning.ObjectivePlanner;
import peppergauge.fleet.service.FleetService;
import peppergauge.fleet.service.FleetServiceConfig;
import peppergauge.log.Log;
import peppergauge.operator.Reading;
import peppergauge.operator.Values;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.file.ObjectiveSection;
import peppergauge.snapshot.storage.PosixFileSystem;

/** The command line of the daemon: {@code daemon --config FILE}. Exit codes are those of docs/COMMANDS.md. */
public final class Daemon {

    private Daemon() {}

    public static void main(String[] args) throws InterruptedException {
        if (args.length != 3 || !"daemon".equals(args[0]) || !"--config".equals(args[1])) {
            exit(2, "usage: peppergauge daemon --config FILE.toml");
            return;
        }
        try {
            Path file = Path.of(args[2]);
            Reading reading = DaemonFile.readAny(file);
            Values values = reading.values().orElseThrow();
            if (reading.kind().filter(FleetFile.KIND::equals).isPresent()) {
                serveFleet(values);
                return;
            }
            if (values.find(LogSection.TABLE)
                            .map(log -> log.get(LogSection.FORMAT))
                            .orElse(LogSection.Format.LINES)
                    == LogSection.Format.JSON) {
                JsonLines.install();
            }
            sayWhetherChecked();
            Running running = new Running(file, values, () -> System.exit(0));
            Runtime.getRuntime().addShutdownHook(new Thread(running::windDown, "wind-down"));
            running.reloadAtHangUp();
            running.start();
        } catch (IllegalArgumentException unusable) {
            exit(2, unusable.getMessage());
        } catch (IOException failed) {
            exit(1, failed.getMessage());
        }
    }

    /** So that who reads the log knows that a breach would be told, and may end what it is in. */
    private static void sayWhetherChecked() {
        boolean checked = false;
        assert checked = true;
        if (checked) {
            Log.line("start", "invariants are checked");
        }
    }

    /** An instance of the fleet service: no sidecar, and no decision module. */
    private static void serveFleet(Values values) throws IOException, InterruptedException {
        FleetServiceConfig settings = ServiceSection.settings(values);
        Planner planner = new ObjectivePlanner(
                ObjectiveSection.objectives(values),
                ControllerConfig.withPeriod(settings.tables().intervalMs()),
                new HitRateForecasts());
        sayWhetherChecked();
        FleetService service = new FleetService(settings, planner, new PosixFileSystem(), System::currentTimeMillis);
        Runtime.getRuntime().addShutdownHook(new Thread(service::close, "wind-down"));
        // Its own threads end with the program; this one is what keeps it.
        new CountDownLatch(1).await();
    }

    private static void exit(int code, String why) {
        why.lines().forEach(line -> System.err.println("peppergauge: " + line));
        // Not exit: where the start failed there is nothing to wind down.
        Runtime.getRuntime().halt(code);
    }
}
