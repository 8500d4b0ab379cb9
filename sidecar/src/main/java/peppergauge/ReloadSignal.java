package peppergauge;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import peppergauge.log.Log;

/**
 * SIGHUP, which the Java machine takes as an order to end unless it is handled. The platform has no public class
 * for signals; {@code sun.misc.Signal} is its supported way (module jdk.unsupported), but naming it is a warning
 * that cannot be turned off, and warnings fail the build. Hence the reflection.
 */
public final class ReloadSignal {

    /** Where the signal cannot come: well within the time in which an old discovery is still answered, ms. */
    private static final long LOOK_MS = 500;

    private ReloadSignal() {}

    /**
     * Runs the task at each SIGHUP, on a thread of its own. The Java machine leaves a signal ignored that was so
     * when it was started, as by {@code nohup}: there the task runs whenever the file that GW_CONFIG names is
     * another than before, or a moved discovery would never be heard of again.
     */
    public static void install(Runnable task) {
        String path = System.getenv("GW_CONFIG");
        if (!installIfDelivered(task) && path != null) {
            Log.line("reload", "SIGHUP was ignored when this was started: " + path + " is looked at instead");
            lookAt(Path.of(path), task);
        }
    }

    /** The same without a look at any file: says no where the signal was ignored, and the task will never run. */
    public static boolean installIfDelivered(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation = (proxy, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    run(task);
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
            Log.line("reload", "SIGHUP cannot be handled here and would end the program: " + unavailable);
            return true;
        }
    }

    private static void lookAt(Path file, Runnable task) {
        String first = stamp(file);
        Thread looking = new Thread(
                () -> {
                    String known = first;
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                            String now = stamp(file);
                            if (!now.equals(known)) {
                                known = now;
                                run(task);
                            }
                        }
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                },
                "configuration");
        looking.setDaemon(true);
        looking.start();
    }

    /** What tells one state of a file from another: one put in its place has a key of its own. */
    public static String stamp(Path file) {
        try {
            return Files.readAttributes(file, "unix:ino,lastModifiedTime,size").toString();
        } catch (IOException | UnsupportedOperationException unreadable) {
            return "";
        }
    }

    /** The task; a bug of its is told, and ends nothing. */
    public static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException bug) {
            Log.bug("reload", bug);
        }
    }
}
