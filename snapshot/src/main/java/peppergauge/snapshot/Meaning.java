package peppergauge.snapshot;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.settings.SettingsNames;

/** Digest of the settings that give learned figures their meaning: the classes, and what load reports hold. */
final class Meaning {

    private Meaning() {}

    /** 64 hexadecimal digits. */
    static String of(Settings settings, SettingsNames names) {
        String text = "classes " + names.classes() + "\n" + settings.classes() + "\nload " + settings.loadFields();
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("each Java machine has SHA-256", impossible);
        }
    }
}
