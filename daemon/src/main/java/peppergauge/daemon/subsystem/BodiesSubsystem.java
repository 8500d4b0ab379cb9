package peppergauge.daemon.subsystem;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import peppergauge.SidecarExtension;
import peppergauge.bodies.BodiesExtension;
import peppergauge.bodies.BodiesSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** The subsystem of {@code [bodies]}: large request and response bodies. */
final class BodiesSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new BodiesSection());
    }

    @Override
    public Running open(Values file) {
        Optional<Values> table = file.find(BodiesSection.TABLE);
        return table.isEmpty()
                ? new Fixed(SidecarExtension.NONE)
                : new RunningBodies(new BodiesExtension(BodiesSection.settings(table.get())));
    }

    /** Configured once, at the start. */
    private record RunningBodies(BodiesExtension extension) implements Running, StatusReporter {

        @Override
        public Change prepare(Values file) {
            return Change.NONE;
        }

        @Override
        public String command() {
            return "bodies";
        }

        @Override
        public Object report() {
            try {
                return extension.largeBodies() == null
                        ? Map.of()
                        : extension.largeBodies().report().get(1, TimeUnit.SECONDS);
            } catch (ExecutionException | TimeoutException late) {
                return Map.of("late", true);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return Map.of("late", true);
            }
        }
    }
}
