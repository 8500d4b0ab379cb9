package peppergauge.nomad.api;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import peppergauge.log.Log;

/** The ACL token, from a file that may be replaced at any time. The token is sent with requests and never logged. */
public final class TokenFile {

    private static final int MAX_BYTES = 4_096;

    private final Optional<Path> file;
    private final BackgroundExecutor background;
    private volatile String token = "";

    /** @param file empty if Nomad needs no token */
    public TokenFile(Optional<Path> file, BackgroundExecutor work) {
        this.file = file;
        this.background = work;
    }

    /** Returns the token as last read; empty if there is none. */
    String token() {
        return token;
    }

    /** Reads the file in the background, and reports on the event loop's thread whether the token has changed. */
    public void reload(Consumer<Boolean> changed) {
        if (file.isEmpty()) {
            changed.accept(false);
            return;
        }
        background.submit(
                this::read,
                fresh -> {
                    boolean hasChanged = !fresh.equals(token);
                    token = fresh;
                    changed.accept(hasChanged);
                },
                why -> {
                    Log.event("nomad_token_unusable", "error", why);
                    changed.accept(false);
                });
    }

    private String read() {
        try (var in = Files.newInputStream(file.orElseThrow())) {
            String text = new String(in.readNBytes(MAX_BYTES), StandardCharsets.ISO_8859_1).trim();
            if (!text.matches("[!-~]*")) {
                throw new IllegalArgumentException("it holds more than one word of printable characters");
            }
            return text;
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(unreadable.getClass().getSimpleName());
        }
    }

    @Override
    public String toString() {
        return "a token";
    }
}
