package peppergauge.lab.nomad;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A script of changes to a stand-in. Each line has a time in ms from the start, a verb and its arguments; {@code #}
 * starts a comment. A server is one allocation with one registration of the same name.
 *
 * <pre>
 * 0    node n1 dc1
 * 0    run a1 n1 episodes 127.0.0.1:8080 zone=z0    # allocation, node, service, address, tags
 * 500  drain n1 200                                 # its registrations go 200 ms later
 * 900  allocation a1 ClientStatus failed
 * 900  healthy a1 false
 * 950  node-is n1 SchedulingEligibility ineligible
 * 960  check a1 http failure
 * 970  stop a1
 * 980  gone a1                                      # without a preceding stop
 * 1000 fault empty
 * </pre>
 */
public final class StandInScript {

    private static final String VERBS = "node, run, drain, allocation, healthy, node-is, check, stop, gone, fault";

    private record Line(long atMs, String verb, List<String> words) {}

    private final List<Line> lines = new ArrayList<>();

    /** @throws IllegalArgumentException if a line is malformed; the message contains the line */
    public StandInScript(String text) {
        for (String each :
                text.lines().map(line -> line.replaceAll("#.*", "").trim()).toList()) {
            if (!each.isEmpty()) {
                String[] words = each.split(" +");
                if (words.length < 3 || !words[0].matches("[0-9]{1,9}")) {
                    throw new IllegalArgumentException("expected a time in ms, a verb and arguments, got: " + each);
                }
                lines.add(new Line(
                        Long.parseLong(words[0]), words[1], List.of(Arrays.copyOfRange(words, 2, words.length))));
            }
        }
        lines.sort(Comparator.comparingLong(Line::atMs));
    }

    /** Runs the script to its end, on the caller's thread. */
    public void run(Cluster cluster, NomadStandIn api) throws IOException, InterruptedException {
        long begunNs = System.nanoTime();
        for (Line line : lines) {
            long leftMs = line.atMs() - (System.nanoTime() - begunNs) / 1_000_000;
            if (leftMs > 0) {
                Thread.sleep(leftMs);
            }
            run(line, cluster, api);
        }
    }

    private static void run(Line line, Cluster cluster, NomadStandIn api) throws IOException, InterruptedException {
        List<String> words = line.words();
        String first = words.get(0);
        switch (line.verb()) {
            case "node" -> cluster.node(first, words.get(1), Map.of());
            case "run" -> {
                String[] address = words.get(3).split(":");
                cluster.allocation(first, words.get(1), "job");
                cluster.register(
                        first,
                        first,
                        words.get(2),
                        address[0],
                        Integer.parseInt(address[1]),
                        words.subList(4, words.size()));
            }
            case "drain" -> cluster.drain(first, Long.parseLong(words.get(1)));
            case "allocation" -> cluster.allocationField(first, words.get(1), words.get(2));
            case "healthy" ->
                cluster.allocationField(first, "DeploymentStatus", Map.of("Healthy", Boolean.valueOf(words.get(1))));
            case "node-is" -> cluster.nodeField(first, words.get(1), words.get(2));
            case "check" -> cluster.check(first, words.get(1), words.get(2));
            case "stop" -> {
                cluster.allocationField(first, "DesiredStatus", "stop");
                cluster.deregisterAllOf(first);
            }
            case "gone" -> cluster.deregisterAllOf(first);
            case "fault" ->
                api.fault(ApiFault.valueOf(first.toUpperCase(Locale.ROOT).replace('-', '_')));
            default ->
                throw new IllegalArgumentException("expected one of the verbs " + VERBS + ", got: " + line.verb());
        }
    }
}
