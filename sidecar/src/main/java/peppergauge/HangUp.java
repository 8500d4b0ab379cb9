package peppergauge;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import peppergauge.log.Log;

/**
 * SIGHUP, which the Java machine takes as an order to end unless it is handled. The platform has no public class
 * for signals; {@code sun.misc.Signal} is its supported way (module jdk.unsupported), but naming it is a warning
 * that cannot be turned off, and warnings fail the build. Hence the reflection.
 */
public final class HangUp {

    private HangUp() { }

    /** Runs the task at each SIGHUP, on a thread of its own. */
    public static void handle(Runnable task) {
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
            Object proxy = Proxy.newProxyInstance(HangUp.class.getClassLoader(), new Class<?>[] {handler}, invocation);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException unavailable) {
            Log.line("reload", "SIGHUP cannot be handled here and would end the program: " + unavailable);
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException bug) {
            Log.bug("reload", bug);
        }
    }
}
