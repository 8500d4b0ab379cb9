package peppergauge.nomad.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import peppergauge.log.Log;

/**
 * The ACL token, from a file that others may replace at any time. Read beside the loop; its text goes into the request
 * and nowhere else.
 */
public final class TokenFile {

    private static final int MOST_BYTES = 4_096;

    private final Optional<Path> file;
    private final Work work;
    private volatile String token = "";

    /** @param file empty if Nomad asks for none */
    public TokenFile(Optional<Path> file, Work work) {
        this.file = file;
        this.work = work;
    }

    /** The token as it was last read; empty if there is none. */
    String token() {
        return token;
    }

    /** Reads the file, and tells on the loop whether the token is another now. */
    public void reread(java.util.function.Consumer<Boolean> changed) {
        if (file.isEmpty()) {
            changed.accept(false);
            return;
        }
        work.run(
                this::read,
                fresh -> {
                    boolean other = !fresh.equals(token);
                    token = fresh;
                    changed.accept(other);
                },
                why -> {
                    Log.line("nomad", "the token file cannot be used, the token before is kept: " + why);
                    changed.accept(false);
                });
    }

    private String read() {
        try (var in = Files.newInputStream(file.orElseThrow())) {
            String text = new String(in.readNBytes(MOST_BYTES), StandardCharsets.ISO_8859_1).trim();
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
