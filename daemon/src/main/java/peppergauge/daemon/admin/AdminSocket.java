package peppergauge.daemon.admin;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
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
 * The admin socket: reads one command line from each connection, writes one JSON object and closes the connection. A
 * thread of its own handles connections one after another. The connection of a client that sends no complete command,
 * or does not read its response, is closed after {@value #CLIENT_TIMEOUT_MS} ms.
 */
public final class AdminSocket implements AutoCloseable {

    private static final int MAX_COMMAND_BYTES = 64;
    private static final long CLIENT_TIMEOUT_MS = 2_000;

    private final AdminAddress adminAddress;
    private final Map<String, Supplier<Map<String, Object>>> commands;
    private final ServerSocketChannel listener;
    private final ScheduledThreadPoolExecutor timeouts =
            new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, "admin-limits"));
    private volatile boolean closed;

    /**
     * Starts to listen.
     *
     * @param commands handlers by command name; they are called on the socket's thread
     * @throws IOException if the address is in use or cannot be listened on
     */
    public AdminSocket(AdminAddress adminAddress, Map<String, Supplier<Map<String, Object>>> commands)
            throws IOException {
        this.adminAddress = adminAddress;
        this.commands = Map.copyOf(commands);
        timeouts.setRemoveOnCancelPolicy(true);
        listener = ServerSocketChannel.open(adminAddress.family());
        try {
            if (adminAddress.path().isPresent()) {
                bind(adminAddress.path().get());
            } else {
                listener.bind(adminAddress.address());
            }
        } catch (IOException failed) {
            listener.close();
            throw new IOException("the admin socket cannot listen: " + failed.getMessage(), failed);
        }
        daemonThread(this::accept, "admin").start();
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Binds in a private folder and moves the socket to its path when its permissions are set, so that no client
     * connects before.
     */
    private void bind(Path path) throws IOException {
        if (Files.exists(path)) {
            try {
                SocketChannel.open(UnixDomainSocketAddress.of(path)).close();
                throw new IOException(path + " is in use by another program");
            } catch (java.net.ConnectException notListening) {
                // The socket was left by a process that was killed.
            }
        }
        Path privateFolder = Files.createTempDirectory(
                path.toAbsolutePath().getParent(),
                ".admin",
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        Path unpublished = privateFolder.resolve("s");
        try {
            listener.bind(UnixDomainSocketAddress.of(unpublished));
            Files.setPosixFilePermissions(unpublished, PosixFilePermissions.fromString("rw-------"));
            Files.move(unpublished, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(unpublished);
            Files.delete(privateFolder);
        }
    }

    /** Returns the address that the socket listens on. */
    public SocketAddress address() throws IOException {
        return listener.getLocalAddress();
    }

    private void accept() {
        while (!closed) {
            try (SocketChannel client = listener.accept()) {
                handle(client);
            } catch (IOException broken) {
                if (!closed) {
                    Log.event("admin_connection_failed", "error", broken.getMessage());
                }
            } catch (RuntimeException bug) {
                Log.error("admin_command_failed", bug);
            }
        }
    }

    private void handle(SocketChannel client) throws IOException {
        String command = readCommand(client);
        Supplier<Map<String, Object>> handler = commands.get(command);
        Map<String, Object> response = handler != null
                ? handler.get()
                : error("unknown command " + command + "; known: "
                        + String.join(", ", commands.keySet().stream().sorted().toList()));
        ScheduledFuture<?> timeout = timeouts.schedule(() -> close(client), CLIENT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        ByteBuffer bytes = ByteBuffer.wrap((JsonWriter.write(response) + "\n").getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            client.write(bytes);
        }
        timeout.cancel(false);
    }

    private String readCommand(SocketChannel client) throws IOException {
        ScheduledFuture<?> timeout = timeouts.schedule(() -> close(client), CLIENT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        ByteBuffer line = ByteBuffer.allocate(MAX_COMMAND_BYTES);
        try {
            while (line.hasRemaining() && client.read(line) >= 0 && line.get(line.position() - 1) != '\n') {
                // Reads until the line is complete, the buffer is full, or the client has closed the connection.
            }
        } catch (ClosedChannelException timedOut) {
            throw new IOException("no complete command within " + CLIENT_TIMEOUT_MS + " ms", timedOut);
        }
        timeout.cancel(false);
        return new String(line.array(), 0, line.position(), StandardCharsets.US_ASCII).trim();
    }

    private static void close(SocketChannel client) {
        try {
            client.close();
        } catch (IOException ignored) {
            // The connection is discarded in any case.
        }
    }

    /** Returns the response to a command that failed. */
    public static Map<String, Object> error(String message) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("ok", false);
        error.put("error", message);
        return error;
    }

    @Override
    public void close() {
        closed = true;
        timeouts.shutdownNow();
        try {
            listener.close();
            if (adminAddress.path().isPresent()) {
                Files.deleteIfExists(adminAddress.path().get());
            }
        } catch (IOException failed) {
            Log.event("admin_socket_close_failed", "error", failed.getMessage());
        }
    }
}
