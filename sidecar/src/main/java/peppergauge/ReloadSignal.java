package peppergauge;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import peppergauge.log.Log;

/**
 * Runs a task at SIGHUP, which ends a JVM unless it is handled. {@code sun.misc.Signal} (module jdk.unsupported) is
 * used by reflection, since direct use causes a compiler warning that cannot be suppressed.
 */
public final class ReloadSignal {

    /** Interval at which the file is checked for changes if the signal is not delivered. */
    private static final long POLL_INTERVAL_MS = 500;

    private ReloadSignal() {}

    /**
     * Runs the task at each SIGHUP, on a separate thread. If the process was started with SIGHUP ignored, as by
     * {@code nohup}, the JVM leaves it ignored; then the task runs whenever the file named by GW_CONFIG changes. If
     * GW_CONFIG is not set either, or the JVM does not support signal handlers, the task never runs.
     */
    public static void install(Runnable task) {
        String path = System.getenv("GW_CONFIG");
        if (!installIfDelivered(task) && path != null) {
            Log.event("reload_signal_ignored", "polled_file", path);
            startPolling(Path.of(path), task);
        }
    }

    /**
     * Runs the task at each SIGHUP, on a separate thread.
     *
     * @return false if the process was started with SIGHUP ignored, so that the task will never run; true otherwise,
     *     also if this JVM does not support signal handlers, which is logged
     */
    public static boolean installIfDelivered(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation = (proxy, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    runLogged(task);
                    yield null;
                }
                case "equals" -> proxy == arguments[0];
                case "hashCode" -> System.identityHashCode(proxy);
                default -> "SIGHUP handler";
            };
            Object proxy =
                    Proxy.newProxyInstance(ReloadSignal.class.getClassLoader(), new Class<?>[] {handler}, invocation);
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException unavailable) {
            Log.event("reload_signal_unsupported", "exception", unavailable);
            return true;
        }
    }

    /** Runs the task at each change of the file, on a daemon thread. */
    private static void startPolling(Path file, Runnable task) {
        String initialStamp = fileStamp(file);
        Thread poller = new Thread(
                () -> {
                    String previous = initialStamp;
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                            String current = fileStamp(file);
                            if (!current.equals(previous)) {
                                previous = current;
                                runLogged(task);
                            }
                        }
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                },
                "config-file-poller");
        poller.setDaemon(true);
        poller.start();
    }

    /** Returns a text that identifies a file's state by inode, time and size; empty if the file cannot be read. */
    public static String fileStamp(Path file) {
        try {
            return Files.readAttributes(file, "unix:ino,lastModifiedTime,size").toString();
        } catch (IOException | UnsupportedOperationException unreadable) {
            return "";
        }
    }

    /** Runs a task and logs its runtime exceptions. */
    public static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException unexpected) {
            Log.error("reload_failed", unexpected);
        }
    }
}
