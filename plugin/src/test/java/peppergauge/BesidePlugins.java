package peppergauge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import peppergauge.plugin.Hostile;
import peppergauge.plugin.PluginExtension;
import peppergauge.plugin.Specs;
import peppergauge.plugin.files.PluginSpec;
import peppergauge.plugin.rules.OnFailure;
import peppergauge.plugin.wat.Assembler;

/** Sidecars with plug-ins, for the tests that the sidecar has of its own. */
final class BesidePlugins {

    private BesidePlugins() {}

    /** A hostile one, and a good one after it. */
    static Supplier<SidecarExtension> hostile(String name) {
        return with(() -> List.of(
                Specs.of("bad", Assembler.assemble(Hostile.atWork().get(name)), OnFailure.OPEN),
                Specs.of("good", Hostile.good(), OnFailure.OPEN)));
    }

    /** All hostile ones, and a good one among them. */
    static Supplier<SidecarExtension> allHostile() {
        return with(() -> {
            List<PluginSpec> specs = new ArrayList<>();
            for (String module : Hostile.atWork().values()) {
                specs.add(Specs.of("bad-" + specs.size(), Assembler.assemble(module), OnFailure.OPEN));
            }
            specs.add(specs.size() / 2, Specs.of("good", Hostile.good(), OnFailure.OPEN));
            return specs;
        });
    }

    interface Source {
        List<PluginSpec> get() throws IOException;
    }

    static Supplier<SidecarExtension> with(Source specs) {
        return () -> {
            try {
                return new PluginExtension(specs.get());
            } catch (IOException failed) {
                throw new IllegalStateException(failed);
            }
        };
    }
}
