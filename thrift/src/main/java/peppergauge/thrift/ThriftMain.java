package peppergauge.thrift;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import peppergauge.ReloadSignal;
import peppergauge.Sidecar;
import peppergauge.config.Config;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.ReadResult;
import peppergauge.operator.Values;
import peppergauge.thrift.file.ThriftSection;

/** Runs a sidecar with Thrift, configured by the GW_* environment variables and the operator file given as argument. */
public final class ThriftMain {

    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_INVALID_ARGUMENTS = 2;

    private ThriftMain() {}

    public static void main(String[] args) throws InterruptedException {
        if (args.length != 1) {
            exit(EXIT_INVALID_ARGUMENTS, "usage: peppergauge.thrift.ThriftMain FILE");
        }
        try {
            Sidecar sidecar = createSidecar(System.getenv(), Path.of(args[0]));
            sidecar.endProcessIfThreadFails();
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDownGracefully, "graceful-shutdown"));
            ReloadSignal.install(() -> sidecar.reload(System.getenv()));
            sidecar.start();
        } catch (IllegalArgumentException invalid) {
            exit(EXIT_INVALID_ARGUMENTS, invalid.getMessage());
        } catch (IOException failed) {
            exit(EXIT_START_FAILED, failed.getMessage());
        }
    }

    private static Sidecar createSidecar(Map<String, String> environment, Path path) {
        ReadResult reading = new OperatorFiles(List.of(ThriftSection.KIND)).read(path);
        Values file = reading.values()
                .orElseThrow(() -> new IllegalArgumentException(String.join(
                        "\n", reading.problems().stream().map(Object::toString).toList())));
        return new Sidecar(Config.read(environment), new ThriftExtension(file));
    }

    private static void exit(int code, String message) {
        System.err.println("peppergauge: " + message);
        System.exit(code);
    }
}
