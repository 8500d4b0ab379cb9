package peppergauge.daemon.part;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.plugin.PluginExtension;
import peppergauge.plugin.files.PluginSection;

/** {@code [[plugin]]}. */
final class Plugins implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new PluginSection());
    }

    @Override
    public Part open(Values file) {
        return new PluginPart(new PluginExtension(PluginSection.read(file)));
    }

    private record PluginPart(PluginExtension addition) implements Part, Reports {

        @Override
        public SidecarExtension additions() {
            return addition;
        }

        @Override
        public Change prepare(Values file) {
            PluginExtension.Prepared prepared = addition.prepare(PluginSection.read(file));
            return new Change() {
                @Override
                public void apply() {
                    prepared.install();
                }

                @Override
                public void drop() {
                    prepared.drop();
                }
            };
        }

        @Override
        public Object report() {
            return addition.report();
        }

        @Override
        public String command() {
            return "plugins";
        }
    }
}
