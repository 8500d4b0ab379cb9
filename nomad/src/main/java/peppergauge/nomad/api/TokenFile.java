package peppergauge.nomad.api;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import peppergauge.log.Log;

/**
 * Reads the ACL token from a file that may be replaced at any time. The token is sent with requests, but never logged.
 */
public final class TokenFile {

    private static final int MAX_BYTES = 4_096;

    private final Optional<Path> file;
    private final BackgroundExecutor background;
    private volatile String token = "";

    /**
     * Creates a reader that has not read the file yet.
     *
     * @param file the file; empty if Nomad needs no token
     */
    public TokenFile(Optional<Path> file, BackgroundExecutor background) {
        this.file = file;
        this.background = background;
    }

    /** Returns the token that was last read; empty if there is none. Thread-safe. */
    String token() {
        return token;
    }

    /**
     * Reads the file in the background.
     *
     * @param onReloaded receives, on the event loop's thread, whether the token has changed
     */
    public void reload(Consumer<Boolean> onReloaded) {
        if (file.isEmpty()) {
            onReloaded.accept(false);
            return;
        }
        background.submit(
                this::read,
                newToken -> {
                    boolean hasChanged = !newToken.equals(token);
                    token = newToken;
                    onReloaded.accept(hasChanged);
                },
                error -> {
                    Log.event("nomad_token_unusable", "error", error);
                    onReloaded.accept(false);
                });
    }

    private String read() {
        Path path = file.orElseThrow();
        try (var in = Files.newInputStream(path)) {
            String text = new String(in.readNBytes(MAX_BYTES), StandardCharsets.ISO_8859_1).trim();
            if (!text.matches("[!-~]*")) {
                throw new IllegalArgumentException(
                        "token file " + path + ": expected one word of printable ASCII characters");
            }
            return text;
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(
                    "token file " + path + ": " + unreadable.getClass().getSimpleName(), unreadable);
        }
    }

    @Override
    public String toString() {
        return "a token";
    }
}
