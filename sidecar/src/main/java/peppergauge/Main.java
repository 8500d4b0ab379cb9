package peppergauge;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import peppergauge.adapter.MalformedLineException;
import peppergauge.adapter.SimulatorAdapter;
import peppergauge.config.Config;

/**
 * The command line: {@code serve} runs a sidecar, {@code adapter} connects the load balancer to the simulator on
 * standard streams.
 */
public final class Main {

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "adapter" -> runAdapter();
            default -> exit(2, "usage: java -jar peppergauge.jar serve|adapter");
        }
    }

    private static void serve() throws InterruptedException {
        // Installed first: an unhandled SIGHUP ends the process, and one during construction must not be lost.
        CompletableFuture<Sidecar> created = new CompletableFuture<>();
        ReloadSignal.install(() -> created.join().reload(System.getenv()));
        try {
            Sidecar sidecar = new Sidecar(Config.read(System.getenv()));
            sidecar.endProcessIfThreadFails();
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDownGracefully, "graceful-shutdown"));
            created.complete(sidecar);
            sidecar.start();
        } catch (IllegalArgumentException unusable) {
            exit(2, unusable.getMessage());
        } catch (IOException failed) {
            exit(1, failed.getMessage());
        }
    }

    private static void runAdapter() {
        try (var in = new FileInputStream(FileDescriptor.in);
                var out = new FileOutputStream(FileDescriptor.out)) {
            new SimulatorAdapter(in, out).run();
        } catch (MalformedLineException malformed) {
            exit(1, malformed.getMessage());
        } catch (IOException broken) {
            exit(1, "cannot read standard input or write standard output: " + broken.getMessage());
        }
    }

    private static void exit(int code, String message) {
        System.err.println("peppergauge: " + message);
        System.exit(code);
    }
}
