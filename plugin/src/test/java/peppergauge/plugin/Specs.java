package peppergauge.plugin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import peppergauge.plugin.abi.SessionView;
import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Capability;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.box.Limits;
import peppergauge.plugin.crew.Crew;
import peppergauge.plugin.crew.Job;
import peppergauge.plugin.crew.Times;
import peppergauge.plugin.files.PluginSpec;
import peppergauge.plugin.rules.OnFailure;

/** Plug-ins as a file would have them. */
public final class Specs {

    public static final Limits LIMITS = new Limits(16, 1 << 20, false);
    public static final Times TIMES = new Times(1, 32, 256 << 10, 5, 300);

    private Specs() {}

    public static PluginSpec of(String name, byte[] module, OnFailure onFailure) throws IOException {
        return of(name, module, onFailure, TIMES);
    }

    public static PluginSpec of(String name, byte[] module, OnFailure onFailure, Times times) throws IOException {
        Path file = Files.createTempFile("plugin", ".wasm");
        file.toFile().deleteOnExit();
        Files.write(file, module);
        return new PluginSpec(
                name,
                file,
                List.of(),
                onFailure,
                500,
                EnumSet.of(Capability.LOG, Capability.CONFIG, Capability.CLOCK, Capability.COUNTERS, Capability.STORE),
                List.of("x-other"),
                List.of("X-Tag", "X-Traffic"),
                Map.of(),
                ZoneOffset.UTC,
                LIMITS,
                times,
                5,
                1,
                1 << 16);
    }

    /** Offers a session; how long its call took, ms, however it ended. */
    public static CompletableFuture<Double> took(Crew crew, SessionView session) {
        CompletableFuture<Double> took = new CompletableFuture<>();
        crew.offer(new Job() {
            @Override
            public void run(Box box) throws Fault {
                box.onSession(session);
            }

            @Override
            public void ended(double tookMs) {
                took.complete(tookMs);
            }

            @Override
            public void failed(String why, double tookMs) {
                took.complete(tookMs);
            }
        });
        return took;
    }
}
