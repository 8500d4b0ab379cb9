package peppergauge;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import peppergauge.adapter.MalformedLineException;
import peppergauge.adapter.SimulatorAdapter;
import peppergauge.config.Config;

/** The command line: {@code serve} is a sidecar, {@code adapter} speaks the simulator's wire on standard streams. */
public final class Main {

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "adapter" -> adapt();
            default -> exit(2, "usage: java -jar peppergauge.jar serve|adapter");
        }
    }

    private static void serve() throws InterruptedException {
        // Before all else: unhandled it ends the program, and one that comes while it is put together must not be lost.
        CompletableFuture<Sidecar> made = new CompletableFuture<>();
        ReloadSignal.install(() -> made.join().reload(System.getenv()));
        try {
            Sidecar sidecar = new Sidecar(Config.read(System.getenv()));
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::windDown, "wind-down"));
            made.complete(sidecar);
            sidecar.start();
        } catch (IllegalArgumentException unusable) {
            exit(2, unusable.getMessage());
        } catch (IOException failed) {
            exit(1, failed.getMessage());
        }
    }

    private static void adapt() {
        try (var in = new FileInputStream(FileDescriptor.in);
                var out = new FileOutputStream(FileDescriptor.out)) {
            new SimulatorAdapter(in, out).run();
        } catch (MalformedLineException malformed) {
            exit(1, malformed.getMessage());
        } catch (IOException broken) {
            exit(1, "the pipe broke: " + broken.getMessage());
        }
    }

    private static void exit(int code, String why) {
        System.err.println("peppergauge: " + why);
        System.exit(code);
    }
}
