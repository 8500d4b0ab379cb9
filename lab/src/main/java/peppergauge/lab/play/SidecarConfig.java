package peppergauge.lab.play;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.RuleSettings;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Sidecars;
import peppergauge.lab.standin.EndpointListMessage;
import peppergauge.lab.wire.Listener;

/** Converts a scenario's settings to the configuration of a sidecar. */
public final class SidecarConfig {

    /** The platform's value, which the emulator uses too. */
    private static final int TICK_MS = 5;
    /** The platform's value, which the emulator uses too. */
    private static final int KEY_WINDOW_MS = 5_000;

    private SidecarConfig() {}

    /**
     * Returns the contents of {@code GW_CONFIG} without {@code listen}.
     *
     * @param index the sidecar's index, from 0
     * @param zone index of the sidecar's zone in the scenario's list
     */
    public static Map<String, Object> of(
            Scenario scenario, int index, int zone, InetSocketAddress discovery, EndpointListMessage known, long seed) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "sidecar-" + (index + 1));
        config.put("discovery", Listener.text(discovery));
        config.put("seed", Long.toHexString(seed));
        config.put("limits", Map.of("sockets", 1024));
        config.put("known", known);
        config.put("settings", settings(scenario, index, zone));
        return config;
    }

    private static Map<String, Object> settings(Scenario scenario, int index, int zone) {
        Sidecars sidecars = scenario.sidecars();
        RuleSettings rules = scenario.rules();
        boolean connectionsCostWork = scenario.servers().stream()
                .anyMatch(kind -> !kind.connectionWork().isZero());
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("balancers", sidecars.count());
        settings.put("me", index);
        settings.put("zone", zone);
        settings.put("areas", scenario.network().zones());
        settings.put("tickMs", TICK_MS);
        settings.put("registryMode", "automatic");
        settings.put("overShareWorth", rules.overShareWorth());
        settings.put(
                "limits",
                Map.of(
                        "cancelling",
                        sidecars.cancels(),
                        "mayProbe",
                        sidecars.probes(),
                        "mostTries",
                        sidecars.attempts(),
                        "parallelTries",
                        false,
                        "retryAfter",
                        sidecars.retryAfter(),
                        "maxRetryAfterMs",
                        Scenario.toMillis(sidecars.maxRetryAfter()),
                        "connIdleMs",
                        Scenario.toMillis(sidecars.connectionIdle()),
                        "connectTimeoutMs",
                        Scenario.toMillis(sidecars.connectTimeout())));
        settings.put("charges", Map.of("connection", connectionsCostWork ? 1 : 0));
        settings.put(
                "profiles",
                scenario.classes().stream().map(SidecarConfig::profile).toList());
        settings.put("report", Map.of("how", "piggyback", "names", List.of("active", "waiting", "avg_ms")));
        settings.put(
                "rules",
                Map.of(
                        "coldShare",
                        rules.coldShare(),
                        "coldMs",
                        Scenario.toMillis(rules.coldTime()),
                        "tipMultiple",
                        rules.fallMultiple(),
                        "fallMs",
                        Scenario.toMillis(rules.fallTime()),
                        "drainGraceMs",
                        Scenario.toMillis(rules.drainGrace())));
        settings.put(
                "tenants",
                scenario.tenants().stream()
                        .map(tenant -> Map.of("name", tenant.name(), "quotaPerS", tenant.quota()))
                        .toList());
        return settings;
    }

    private static Map<String, Object> profile(RequestClassSpec kind) {
        return Map.of(
                "name",
                kind.name(),
                "aimMs",
                Scenario.toMillis(kind.aim()),
                "deadlineMs",
                Scenario.toMillis(kind.deadline()),
                "worth",
                kind.worth(),
                "lateWorth",
                kind.lateWorth(),
                "effect",
                kind.effect() == RequestClassSpec.Effect.UNSAFE ? "at_most_once" : "idempotent",
                "group",
                "all",
                "keyTtlMs",
                KEY_WINDOW_MS);
    }
}
