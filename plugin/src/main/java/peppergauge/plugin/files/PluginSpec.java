package peppergauge.plugin.files;

import java.nio.file.Path;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.plugin.box.Capability;
import peppergauge.plugin.box.Limits;
import peppergauge.plugin.crew.Times;
import peppergauge.plugin.rules.OnFailure;

/**
 * One plug-in as the file has it.
 *
 * @param classes by name that it is asked about; empty for all
 * @param readHeaders that it is told, in lower case
 * @param writeHeaders that it may set and remove
 * @param failures within 10 s at which it is left out for a while
 * @param share of one core that its calls may take together
 * @param storeBytes that it may keep
 */
public record PluginSpec(
        String name,
        Path file,
        List<String> classes,
        OnFailure onFailure,
        double closedRetryAfterMs,
        Set<Capability> capabilities,
        List<String> readHeaders,
        List<String> writeHeaders,
        Map<String, String> settings,
        ZoneId zone,
        Limits limits,
        Times times,
        int failures,
        double share,
        int storeBytes) {}
