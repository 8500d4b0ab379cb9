package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.plugin.PluginExtension;
import peppergauge.plugin.files.PluginSection;

/** The subsystem of {@code [[plugin]]}: plug-ins. */
final class PluginSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new PluginSection());
    }

    @Override
    public Running open(Values file) {
        return new RunningPlugins(new PluginExtension(PluginSection.read(file)));
    }

    private record RunningPlugins(PluginExtension plugins) implements Running, StatusReporter {

        @Override
        public SidecarExtension extension() {
            return plugins;
        }

        @Override
        public Change prepare(Values file) {
            PluginExtension.Prepared prepared = plugins.prepare(PluginSection.read(file));
            return new Change() {
                @Override
                public void apply() {
                    prepared.install();
                }

                @Override
                public void discard() {
                    prepared.discard();
                }
            };
        }

        @Override
        public Object report() {
            return plugins.report();
        }

        @Override
        public String command() {
            return "plugins";
        }
    }
}
