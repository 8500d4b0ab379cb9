package peppergauge.snapshot;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.stream.Collectors;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.settings.SettingsNames;

/**
 * Digest of the settings that learned statistics depend on: the request classes and the fields of load reports.
 *
 * <p>Snapshots store the digest. The digested text is part of the snapshot format, so a rename of settings in the code
 * must not change it.
 */
final class SettingsDigest {

    private SettingsDigest() {}

    /** Returns the SHA-256 digest as 64 hexadecimal digits. */
    static String of(Settings settings, SettingsNames names) {
        String classes = settings.classes().stream().map(SettingsDigest::text).collect(Collectors.joining(", "));
        String fields = settings.loadFields().stream().map(SettingsDigest::text).collect(Collectors.joining(", "));
        String text = "classes " + names.classes() + "\n[" + classes + "]\nload [" + fields + "]";
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("SHA-256 is missing, which every Java platform provides", impossible);
        }
    }

    private static String text(RequestClass requestClass) {
        return "RequestClass[aimMs=" + requestClass.latencyObjectiveMs()
                + ", deadlineMs=" + requestClass.deadlineMs()
                + ", worth=" + requestClass.priorityWeight()
                + ", lateWorth=" + requestClass.lateWeightShare()
                + ", effect=" + text(requestClass.idempotency())
                + ", group=" + text(requestClass.keyScope())
                + ", keyWindowMs=" + requestClass.keyWindowMs() + "]";
    }

    private static String text(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "SAFE";
            case IDEMPOTENCY_KEY -> "KEYED";
            case NON_IDEMPOTENT -> "UNSAFE";
        };
    }

    private static String text(KeyScope scope) {
        return switch (scope) {
            case ALL -> "ALL";
            case ZONE -> "ZONE";
            case CELL -> "CELL";
        };
    }

    private static String text(LoadField field) {
        return switch (field) {
            case IN_FLIGHT -> "IN_FLIGHT";
            case QUEUED -> "QUEUED";
            case UTILISATION -> "UTILISATION";
            case LATENCY_MS -> "LATENCY_MS";
            case SERVED_PER_S -> "SERVED_PER_S";
            case ERRORS_PER_S -> "ERRORS_PER_S";
            case OTHER -> "OTHER";
        };
    }
}
