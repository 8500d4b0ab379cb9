package peppergauge.lab.syscall;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.flood.UsualClient;

/**
 * The result of a run.
 *
 * @param during the clients' requests while calls failed
 * @param settling those of the second after that
 * @param after those of the time after that second
 * @param failures how many calls failed
 * @param cpuShare CPU time of the sidecar while calls failed, as a share of that time
 * @param alive whether the sidecar runs at the end
 * @param repeated requests of a class that may run once, and ran more than once
 */
public record SystemCallOutcome(
        CallFault fault,
        List<UsualClient.Exchange> during,
        List<UsualClient.Exchange> settling,
        List<UsualClient.Exchange> after,
        long failures,
        double cpuShare,
        boolean alive,
        List<String> repeated,
        String log) {

    /** A response may come this long after its deadline. */
    private static final double DEADLINE_SLACK_MS = 500;
    /** Share of requests that are served while calls fail of which another try usually succeeds. */
    private static final double MIN_SERVED_DURING = 0.95;
    /** Share of requests that are served from one second after the fault on. */
    private static final double MIN_SERVED_AFTER = 0.9;
    /** Above it the sidecar repeats a failing call without a pause. */
    private static final double MAX_CPU_SHARE = 0.9;

    /** Returns what is not as it must be, a text each. */
    public List<String> violations() {
        List<String> found = new ArrayList<>();
        if (!alive) {
            found.add("the process has ended");
        }
        if (failures == 0) {
            found.add("no call has failed");
        }
        long unanswered = Stream.of(during, settling, after)
                .flatMap(List::stream)
                .filter(SystemCallOutcome::isUnanswered)
                .count();
        if (!fault.keepsClientsOut() && unanswered > (fault.mayBreakClientConnections() ? failures : 0)) {
            found.add(unanswered + " requests without a response in time");
        }
        if (fault.spares95PercentOfRequests() && served(during) < MIN_SERVED_DURING * during.size()) {
            found.add("served " + served(during) + " of " + during.size() + " while calls failed");
        }
        if (after.isEmpty() || served(after) < MIN_SERVED_AFTER * after.size()) {
            found.add("served " + served(after) + " of " + after.size() + " after the fault");
        }
        if (cpuShare > MAX_CPU_SHARE) {
            found.add(String.format(Locale.ROOT, "used %.2f of a core while calls failed", cpuShare));
        }
        if (!repeated.isEmpty()) {
            found.add("ran more than once: " + repeated);
        }
        return found;
    }

    private static boolean isUnanswered(UsualClient.Exchange exchange) {
        return exchange.end() == UsualClient.End.CLOSED
                || exchange.end() == UsualClient.End.UNANSWERED
                || exchange.tookMs() > UsualClient.DEADLINE_MS + DEADLINE_SLACK_MS;
    }

    private static long served(List<UsualClient.Exchange> exchanges) {
        return exchanges.stream()
                .filter(exchange -> exchange.end() == UsualClient.End.SERVED)
                .count();
    }

    private static String summary(List<UsualClient.Exchange> exchanges) {
        long unanswered =
                exchanges.stream().filter(SystemCallOutcome::isUnanswered).count();
        return served(exchanges) + "/" + exchanges.size() + (unanswered == 0 ? "" : "(-" + unanswered + ")");
    }

    @Override
    public String toString() {
        return fault
                + String.format(
                        Locale.ROOT,
                        " failures=%d cpu=%.2f during=%s settling=%s after=%s ",
                        failures,
                        cpuShare,
                        summary(during),
                        summary(settling),
                        summary(after))
                + (violations().isEmpty() ? "passed" : "violations=" + violations());
    }
}
