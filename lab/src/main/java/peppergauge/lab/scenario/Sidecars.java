package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [sidecars]}: the sidecars, named sidecar-1 and so on, and their settings.
 *
 * @param count number of sidecars
 * @param skew exponent by which traffic decreases from the first sidecar to the last; 0 for equal traffic
 * @param attempts maximum number of attempts for one request
 * @param probes whether sidecars may probe servers
 * @param cancels whether sidecars may cancel attempts; a server goes on executing a cancelled one
 * @param retryAfter whether rejections may carry Retry-After
 * @param maxRetryAfter longest Retry-After that clients follow
 * @param connectionIdle idle time after which backend servers close a connection
 * @param connectTimeout timeout of opening a connection and of a probe
 * @param thrift number of sidecars, the last ones, that use Thrift with clients and servers; the others use HTTP
 * @param thriftForm transport and protocol of the Thrift sidecars
 * @param work work of a request on the sidecar's one thread; zero for a sidecar that is never overloaded
 */
public record Sidecars(
        long count,
        double skew,
        long attempts,
        boolean probes,
        boolean cancels,
        boolean retryAfter,
        Duration maxRetryAfter,
        Duration connectionIdle,
        Duration connectTimeout,
        long thrift,
        String thriftForm,
        Duration work) {

    static final Table TABLE = Table.required(
            "sidecars",
            "The sidecars and what their settings allow.",
            Key.preset("count", Types.wholeNumber(1, 10_000), "3", "How many."),
            Key.preset(
                    "skew",
                    Types.number(0, 5),
                    "0.5",
                    "Exponent by which traffic falls from the first to the last; 0: alike."),
            Key.preset("attempts", Types.wholeNumber(1, 16), "4", "For one session at most."),
            Key.preset("probes", Types.flag(), "true", "Whether they may probe."),
            Key.preset("cancels", Types.flag(), "true", "Whether they may cancel; the work goes on all the same."),
            Key.preset("retry-after", Types.flag(), "true", "Whether denials may say when to come back."),
            Key.preset(
                    "max-retry-after", Scenario.duration(0, 60_000), "\"1.2 s\"", "The longest that clients follow."),
            Key.preset(
                    "connection-idle",
                    Scenario.duration(1, 600_000),
                    "\"10 s\"",
                    "After which backend servers close a connection."),
            Key.preset(
                    "connect-timeout",
                    Scenario.duration(1, 10_000),
                    "\"200 ms\"",
                    "After which a connection that has not come up is given up, and a probe."),
            Key.preset(
                    "thrift",
                    Types.wholeNumber(0, 10_000),
                    "0",
                    "How many, the last ones, speak Thrift with their "
                            + "clients and with backend servers; for play, to the emulator all protocols are one."),
            Key.preset(
                    "thrift-form",
                    Types.oneOf(
                            "binary", "old-binary", "compact", "framed-binary", "framed-old-binary", "framed-compact"),
                    "\"framed-compact\"",
                    "What these speak."),
            Key.preset(
                    "work",
                    Scenario.duration(0, 1_000),
                    "\"0 ms\"",
                    "Of a session on the sidecar's thread; 0: it is never its own bottleneck."));
}
