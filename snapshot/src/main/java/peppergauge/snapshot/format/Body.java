package peppergauge.snapshot.format;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;

/**
 * The figures in CBOR: one map of the arrays {@code fleet}, {@code classes} and {@code servers}. Unknown keys and what
 * stands behind the last known place of a row are passed over, so that later versions may add there.
 */
final class Body {

    private static final CBORFactory CBOR = new CBORFactory();
    private static final int FLEET = 2 * 11 + 3;
    private static final int KIND = 2 * 2 + 1;
    private static final int KNOWN = 2 * 4 + 3;

    private Body() {}

    // ---- Writing ----

    static byte[] encode(LearnedState learned, Map<String, String> addresses) {
        ByteArrayOutputStream out =
                new ByteArrayOutputStream(1_000 + 150 * learned.servers().size());
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartObject(null, 3);
            to.writeFieldName("fleet");
            fleet(to, learned.cluster());
            to.writeFieldName("classes");
            to.writeStartArray(null, learned.classes().size());
            for (ClassStatistics kind : learned.classes()) {
                to.writeStartArray(null, KIND);
                figures(to, kind.latency(), kind.overall());
                to.writeNumber((float) kind.factor());
                to.writeEndArray();
            }
            to.writeEndArray();
            to.writeFieldName("servers");
            to.writeStartArray(null, learned.servers().size());
            for (ServerStatistics known : learned.servers()) {
                known(to, known, addresses.getOrDefault(known.server(), ""));
            }
            to.writeEndArray();
            to.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        }
        return out.toByteArray();
    }

    private static void fleet(CBORGenerator to, ClusterStatistics fleet) throws IOException {
        to.writeStartArray(null, FLEET);
        to.writeNumber((float) fleet.observedMs());
        to.writeNumber((float) fleet.queueingSlope());
        to.writeNumber((float) fleet.unloadedMs());
        figures(
                to,
                fleet.latency(),
                fleet.idleLatency(),
                fleet.errors(),
                fleet.inFlight(),
                fleet.othersInFlight(),
                fleet.reportedServiceTime(),
                fleet.reportedUtilization(),
                fleet.reportedRate(),
                fleet.covariance(),
                fleet.variance(),
                fleet.arrivals());
        to.writeEndArray();
    }

    private static void known(CBORGenerator to, ServerStatistics known, String address) throws IOException {
        to.writeStartArray(null, 2 + KNOWN);
        to.writeString(known.server());
        to.writeString(address);
        // The only figure that must come back to the bit: it is compared.
        to.writeNumber(known.startedMs());
        to.writeNumber((float) known.unloadedMs());
        to.writeNumber((float) known.ejectionLeftMs());
        figures(to, known.latency(), known.failures(), known.errors(), known.recentErrors());
        to.writeEndArray();
    }

    private static void figures(CBORGenerator to, WeightedSum... figures) throws IOException {
        for (WeightedSum figure : figures) {
            to.writeNumber((float) figure.sum());
            to.writeNumber((float) figure.weight());
        }
    }

    // ---- Reading ----

    /** Puts the servers' addresses into {@code addresses}. */
    static LearnedState decode(byte[] body, Map<String, String> addresses) throws UnusableSnapshot {
        try (JsonParser from = CBOR.createParser(body)) {
            ClusterStatistics fleet = null;
            List<ClassStatistics> classes = new ArrayList<>();
            List<ServerStatistics> servers = new ArrayList<>();
            require(from.nextToken() == JsonToken.START_OBJECT);
            for (JsonToken next = from.nextToken(); next != JsonToken.END_OBJECT; next = from.nextToken()) {
                require(next == JsonToken.FIELD_NAME);
                String key = from.currentName();
                JsonToken value = from.nextToken();
                switch (key) {
                    case "fleet" -> {
                        require(value == JsonToken.START_ARRAY);
                        fleet = fleet(new Row(from, FLEET));
                    }
                    case "classes" -> rows(from, value, () -> classes.add(kind(new Row(from, KIND))));
                    case "servers" -> rows(from, value, () -> servers.add(known(from, addresses)));
                    default -> from.skipChildren();
                }
            }
            require(from.nextToken() == null && fleet != null);
            return new LearnedState(servers.size(), fleet, classes, servers);
        } catch (IOException | RuntimeException malformed) {
            throw new UnusableSnapshot("its figures make no sense: " + malformed.getMessage());
        }
    }

    private interface Reading {
        void run() throws IOException;
    }

    private static void rows(JsonParser from, JsonToken start, Reading row) throws IOException {
        require(start == JsonToken.START_ARRAY);
        for (JsonToken next = from.nextToken(); next != JsonToken.END_ARRAY; next = from.nextToken()) {
            require(next == JsonToken.START_ARRAY);
            row.run();
        }
    }

    private static ClusterStatistics fleet(Row row) {
        double seenMs = row.least(0);
        double crowding = row.least(0);
        double unloadedMs = row.unloadedMs();
        return new ClusterStatistics(
                seenMs,
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                row.figure(),
                Math.min(1, crowding),
                unloadedMs);
    }

    private static ClassStatistics kind(Row row) {
        return new ClassStatistics(row.figure(), row.figure(), row.least(1e-3));
    }

    private static ServerStatistics known(JsonParser from, Map<String, String> addresses) throws IOException {
        require(from.nextToken() == JsonToken.VALUE_STRING);
        String server = from.getText();
        require(from.nextToken() == JsonToken.VALUE_STRING);
        addresses.put(server, from.getText());
        Row row = new Row(from, KNOWN);
        double startedMs = row.least(0);
        double unloadedMs = row.unloadedMs();
        double restMs = row.least(0);
        return new ServerStatistics(
                server, startedMs, row.figure(), row.figure(), row.figure(), row.figure(), unloadedMs, restMs);
    }

    private static void require(boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("another shape was expected");
        }
    }

    /** The numbers up to the end of an array; none of them is infinite or no number but where that means unknown. */
    private static final class Row {

        private final double[] numbers;
        private int next;

        Row(JsonParser from, int size) throws IOException {
            numbers = new double[size];
            int count = 0;
            for (JsonToken token = from.nextToken(); token != JsonToken.END_ARRAY; token = from.nextToken()) {
                if (count < size) {
                    numbers[count++] = from.getDoubleValue();
                } else {
                    from.skipChildren();
                }
            }
            require(count == size);
        }

        double least(double least) {
            double number = numbers[next++];
            if (!(number >= least && number < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException("a figure is " + number);
            }
            return number;
        }

        double unloadedMs() {
            return numbers[next] == Double.POSITIVE_INFINITY ? numbers[next++] : least(0);
        }

        /** A sum may be negative: that of a covariance. */
        WeightedSum figure() {
            double sum = numbers[next++];
            double weight = least(0);
            if (!Double.isFinite(sum)) {
                throw new IllegalArgumentException("a sum is " + sum);
            }
            return new WeightedSum(sum, weight);
        }
    }
}
