package peppergauge.daemon.part;

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

/** {@code [bodies]}. */
final class Bodies implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new BodiesSection());
    }

    @Override
    public Part open(Values file) {
        Optional<Values> table = file.find(BodiesSection.TABLE);
        return table.isEmpty()
                ? new Fixed(SidecarExtension.NONE)
                : new Kept(new BodiesExtension(BodiesSection.settings(table.get())));
    }

    /** What is kept needs a restart to be kept otherwise. */
    private record Kept(BodiesExtension additions) implements Part, Reports {

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
                return additions.keeper() == null
                        ? Map.of()
                        : additions.keeper().report().get(1, TimeUnit.SECONDS);
            } catch (ExecutionException | TimeoutException late) {
                return Map.of("late", true);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return Map.of("late", true);
            }
        }
    }
}
