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

/** The command line: the platform's sidecar and Thrift beside it, from GW_* and the file that is its argument. */
public final class ThriftMain {

    private ThriftMain() {}

    public static void main(String[] args) throws InterruptedException {
        if (args.length != 1) {
            exit(2, "usage: peppergauge.thrift.ThriftMain FILE");
        }
        try {
            Sidecar sidecar = sidecar(System.getenv(), Path.of(args[0]));
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDownGracefully, "graceful-shutdown"));
            ReloadSignal.install(() -> sidecar.reload(System.getenv()));
            sidecar.start();
        } catch (IllegalArgumentException unusable) {
            exit(2, unusable.getMessage());
        } catch (IOException failed) {
            exit(1, failed.getMessage());
        }
    }

    private static Sidecar sidecar(Map<String, String> environment, Path path) {
        ReadResult reading = new OperatorFiles(List.of(ThriftSection.KIND)).read(path);
        Values file = reading.values()
                .orElseThrow(() -> new IllegalArgumentException(String.join(
                        "\n", reading.problems().stream().map(Object::toString).toList())));
        return new Sidecar(Config.read(environment), new ThriftExtension(file));
    }

    private static void exit(int code, String why) {
        System.err.println("peppergauge: " + why);
        System.exit(code);
    }
}
