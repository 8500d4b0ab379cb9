package peppergauge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import peppergauge.plugin.PluginExtension;
import peppergauge.plugin.TestModules;
import peppergauge.plugin.TestSpecs;
import peppergauge.plugin.files.PluginSpec;
import peppergauge.plugin.rules.OnFailure;
import peppergauge.plugin.wat.Assembler;

/** Extensions with misbehaving plug-ins, for running tests of the plain sidecar with them. */
final class MisbehavingPluginExtensions {

    private MisbehavingPluginExtensions() {}

    /** The misbehaving plug-in of this name, followed by a well-behaved one. */
    static Supplier<SidecarExtension> single(String name) {
        return with(() -> List.of(
                TestSpecs.of("bad", Assembler.assemble(TestModules.misbehaving().get(name)), OnFailure.OPEN),
                TestSpecs.of("good", TestModules.tagging(), OnFailure.OPEN)));
    }

    /** All misbehaving plug-ins, with a well-behaved one in the middle. */
    static Supplier<SidecarExtension> all() {
        return with(() -> {
            List<PluginSpec> specs = new ArrayList<>();
            for (String module : TestModules.misbehaving().values()) {
                specs.add(TestSpecs.of("bad-" + specs.size(), Assembler.assemble(module), OnFailure.OPEN));
            }
            specs.add(specs.size() / 2, TestSpecs.of("good", TestModules.tagging(), OnFailure.OPEN));
            return specs;
        });
    }

    interface SpecSource {
        List<PluginSpec> get() throws IOException;
    }

    static Supplier<SidecarExtension> with(SpecSource specs) {
        return () -> {
            try {
                return new PluginExtension(specs.get());
            } catch (IOException failed) {
                throw new IllegalStateException(failed);
            }
        };
    }
}
