package peppergauge.daemon.admin;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import peppergauge.log.Log;

/**
 * Answers commands, one connection after another, on a thread of its own: a line in, a JSON object out, closed. What
 * comes that is no command, is too long, or does not come within two seconds gets an error or nothing; a browser's
 * request to the port is such. The loop is never waited for beyond a second, and never waits for this.
 */
public final class AdminSocket implements AutoCloseable {

    private static final int LONGEST_COMMAND = 64;
    private static final long LONGEST_ASKING_MS = 2_000;

    private final AdminAddress where;
    private final Map<String, Supplier<Map<String, Object>>> commands;
    private final ServerSocketChannel listener;
    private final ScheduledThreadPoolExecutor limits =
            new ScheduledThreadPoolExecutor(1, task -> daemon(task, "admin-limits"));
    private volatile boolean closed;

    /** @throws IOException if it cannot listen there, or another program does */
    public AdminSocket(AdminAddress where, Map<String, Supplier<Map<String, Object>>> commands) throws IOException {
        this.where = where;
        this.commands = Map.copyOf(commands);
        limits.setRemoveOnCancelPolicy(true);
        listener = ServerSocketChannel.open(where.family());
        try {
            if (where.path().isPresent()) {
                bind(where.path().get());
            } else {
                listener.bind(where.address());
            }
        } catch (IOException failed) {
            listener.close();
            throw new IOException("the admin socket cannot listen: " + failed.getMessage(), failed);
        }
        daemon(this::accept, "admin").start();
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Made in a directory that nobody else enters and moved when its rights are set: nobody gets in before. */
    private void bind(Path path) throws IOException {
        if (Files.exists(path)) {
            try {
                SocketChannel.open(UnixDomainSocketAddress.of(path)).close();
                throw new IOException(path + " is in use by another program");
            } catch (java.net.ConnectException nobody) {
                // Left over by one that was killed.
            }
        }
        Path hidden = Files.createTempDirectory(
                path.toAbsolutePath().getParent(),
                ".admin",
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        Path made = hidden.resolve("s");
        try {
            listener.bind(UnixDomainSocketAddress.of(made));
            Files.setPosixFilePermissions(made, PosixFilePermissions.fromString("rw-------"));
            Files.move(made, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(made);
            Files.delete(hidden);
        }
    }

    /** Where it listens. */
    public SocketAddress address() throws IOException {
        return listener.getLocalAddress();
    }

    private void accept() {
        while (!closed) {
            try (SocketChannel client = listener.accept()) {
                answer(client);
            } catch (IOException broken) {
                if (!closed) {
                    Log.line("admin", "a connection broke: " + broken.getMessage());
                }
            } catch (RuntimeException bug) {
                Log.bug("admin", bug);
            }
        }
    }

    private void answer(SocketChannel client) throws IOException {
        String command = command(client);
        Supplier<Map<String, Object>> known = commands.get(command);
        Map<String, Object> answer = known != null
                ? known.get()
                : error("unknown command; known: "
                        + String.join(", ", commands.keySet().stream().sorted().toList()));
        ScheduledFuture<?> limit = limits.schedule(() -> close(client), LONGEST_ASKING_MS, TimeUnit.MILLISECONDS);
        ByteBuffer bytes = ByteBuffer.wrap((Json.write(answer) + "\n").getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            client.write(bytes);
        }
        limit.cancel(false);
    }

    private String command(SocketChannel client) throws IOException {
        ScheduledFuture<?> limit = limits.schedule(() -> close(client), LONGEST_ASKING_MS, TimeUnit.MILLISECONDS);
        ByteBuffer line = ByteBuffer.allocate(LONGEST_COMMAND);
        while (line.hasRemaining() && client.read(line) >= 0 && line.get(line.position() - 1) != '\n') {
            // Until the line is whole, the room is used up, or the client is done.
        }
        limit.cancel(false);
        return new String(line.array(), 0, line.position(), StandardCharsets.US_ASCII).trim();
    }

    private static void close(SocketChannel client) {
        try {
            client.close();
        } catch (IOException ignored) {
            // It is of no use either way.
        }
    }

    /** What is answered where a command could not be carried out. */
    public static Map<String, Object> error(String why) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("ok", false);
        error.put("error", why);
        return error;
    }

    @Override
    public void close() {
        closed = true;
        limits.shutdownNow();
        try {
            listener.close();
            if (where.path().isPresent()) {
                Files.deleteIfExists(where.path().get());
            }
        } catch (IOException failed) {
            Log.line("admin", "its socket could not be closed: " + failed.getMessage());
        }
    }
}
