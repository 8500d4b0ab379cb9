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
 * Encodes and decodes the statistics in CBOR: a map of the arrays {@code fleet}, {@code classes} and {@code servers}.
 * Unknown keys and additional numbers at the end of a row are ignored, so that later versions can add some.
 */
final class SnapshotBody {

    private static final CBORFactory CBOR = new CBORFactory();
    /** Numbers in the row of the cluster: 11 weighted sums of two numbers each, and 3 single numbers. */
    private static final int CLUSTER_NUMBERS = 2 * 11 + 3;
    /** Numbers in the row of a request class: 2 weighted sums and a factor. */
    private static final int CLASS_NUMBERS = 2 * 2 + 1;
    /** Numbers in the row of a server: 4 weighted sums and 3 single numbers. */
    private static final int SERVER_NUMBERS = 2 * 4 + 3;
    /** Smallest factor of a request class that is accepted. */
    private static final double MIN_CLASS_FACTOR = 1e-3;
    /** Estimated size of the encoded cluster and request classes, bytes. */
    private static final int ESTIMATED_HEADER_BYTES = 1_000;
    /** Estimated size of an encoded server, bytes. */
    private static final int ESTIMATED_SERVER_BYTES = 150;

    private SnapshotBody() {}

    // ---- Writing ----

    static byte[] encode(LearnedState state, Map<String, String> addresses) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(ESTIMATED_HEADER_BYTES
                + ESTIMATED_SERVER_BYTES * state.servers().size());
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartObject(null, 3);
            out.writeFieldName("fleet");
            cluster(out, state.cluster());
            out.writeFieldName("classes");
            out.writeStartArray(null, state.classes().size());
            for (ClassStatistics requestClass : state.classes()) {
                out.writeStartArray(null, CLASS_NUMBERS);
                sums(out, requestClass.latency(), requestClass.overall());
                out.writeNumber((float) requestClass.factor());
                out.writeEndArray();
            }
            out.writeEndArray();
            out.writeFieldName("servers");
            out.writeStartArray(null, state.servers().size());
            for (ServerStatistics server : state.servers()) {
                server(out, server, addresses.getOrDefault(server.server(), ""));
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        }
        return bytes.toByteArray();
    }

    private static void cluster(CBORGenerator out, ClusterStatistics cluster) throws IOException {
        out.writeStartArray(null, CLUSTER_NUMBERS);
        out.writeNumber((float) cluster.observedMs());
        out.writeNumber((float) cluster.queueingSlope());
        out.writeNumber((float) cluster.unloadedMs());
        sums(
                out,
                cluster.latency(),
                cluster.idleLatency(),
                cluster.errors(),
                cluster.inFlight(),
                cluster.othersInFlight(),
                cluster.reportedServiceTime(),
                cluster.reportedUtilization(),
                cluster.reportedRate(),
                cluster.covariance(),
                cluster.variance(),
                cluster.arrivals());
        out.writeEndArray();
    }

    private static void server(CBORGenerator out, ServerStatistics server, String address) throws IOException {
        out.writeStartArray(null, 2 + SERVER_NUMBERS);
        out.writeString(server.server());
        out.writeString(address);
        // Written in full precision, since a restore compares the start time for equality.
        out.writeNumber(server.startedMs());
        out.writeNumber((float) server.unloadedMs());
        out.writeNumber((float) server.ejectionLeftMs());
        sums(out, server.latency(), server.failures(), server.errors(), server.recentErrors());
        out.writeEndArray();
    }

    private static void sums(CBORGenerator out, WeightedSum... sums) throws IOException {
        for (WeightedSum sum : sums) {
            out.writeNumber((float) sum.sum());
            out.writeNumber((float) sum.weight());
        }
    }

    // ---- Reading ----

    /** Decodes the statistics, and puts the servers' addresses into {@code addresses}. */
    static LearnedState decode(byte[] body, Map<String, String> addresses) throws UnusableSnapshotException {
        try (JsonParser in = CBOR.createParser(body)) {
            ClusterStatistics cluster = null;
            List<ClassStatistics> classes = new ArrayList<>();
            List<ServerStatistics> servers = new ArrayList<>();
            require(in.nextToken() == JsonToken.START_OBJECT, "expected an object");
            for (JsonToken next = in.nextToken(); next != JsonToken.END_OBJECT; next = in.nextToken()) {
                require(next == JsonToken.FIELD_NAME, "expected a key");
                String key = in.currentName();
                JsonToken value = in.nextToken();
                switch (key) {
                    case "fleet" -> {
                        require(value == JsonToken.START_ARRAY, "fleet must be an array");
                        cluster = cluster(new NumberRow(in, CLUSTER_NUMBERS));
                    }
                    case "classes" ->
                        rows(in, value, () -> classes.add(requestClass(new NumberRow(in, CLASS_NUMBERS))));
                    case "servers" -> rows(in, value, () -> servers.add(server(in, addresses)));
                    default -> in.skipChildren();
                }
            }
            require(in.nextToken() == null, "bytes follow the end of the object");
            require(cluster != null, "the key fleet is missing");
            return new LearnedState(servers.size(), cluster, classes, servers);
        } catch (IOException | RuntimeException malformed) {
            throw new UnusableSnapshotException("its statistics are malformed: " + malformed.getMessage());
        }
    }

    private interface RowReader {
        void run() throws IOException;
    }

    private static void rows(JsonParser in, JsonToken start, RowReader row) throws IOException {
        require(start == JsonToken.START_ARRAY, "expected an array of rows");
        for (JsonToken next = in.nextToken(); next != JsonToken.END_ARRAY; next = in.nextToken()) {
            require(next == JsonToken.START_ARRAY, "a row must be an array");
            row.run();
        }
    }

    private static ClusterStatistics cluster(NumberRow row) {
        double observedMs = row.numberFrom(0);
        double queueingSlope = row.numberFrom(0);
        double unloadedMs = row.unloadedMs();
        return new ClusterStatistics(
                observedMs,
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                row.sum(),
                Math.min(1, queueingSlope),
                unloadedMs);
    }

    private static ClassStatistics requestClass(NumberRow row) {
        return new ClassStatistics(row.sum(), row.sum(), row.numberFrom(MIN_CLASS_FACTOR));
    }

    private static ServerStatistics server(JsonParser in, Map<String, String> addresses) throws IOException {
        require(in.nextToken() == JsonToken.VALUE_STRING, "a server id must be a string");
        String server = in.getText();
        require(in.nextToken() == JsonToken.VALUE_STRING, "a server address must be a string");
        addresses.put(server, in.getText());
        NumberRow row = new NumberRow(in, SERVER_NUMBERS);
        double startedMs = row.numberFrom(0);
        double unloadedMs = row.unloadedMs();
        double ejectionLeftMs = row.numberFrom(0);
        return new ServerStatistics(
                server, startedMs, row.sum(), row.sum(), row.sum(), row.sum(), unloadedMs, ejectionLeftMs);
    }

    private static void require(boolean holds, String message) throws IOException {
        if (!holds) {
            throw new IOException(message);
        }
    }

    /** The numbers up to the end of an array. All must be finite, except for an unknown unloaded latency. */
    private static final class NumberRow {

        private final double[] numbers;
        private int next;

        NumberRow(JsonParser from, int size) throws IOException {
            numbers = new double[size];
            int count = 0;
            for (JsonToken token = from.nextToken(); token != JsonToken.END_ARRAY; token = from.nextToken()) {
                if (count < size) {
                    numbers[count++] = from.getDoubleValue();
                } else {
                    from.skipChildren();
                }
            }
            if (count < size) {
                throw new IOException("a row has " + count + " numbers, expected at least " + size);
            }
        }

        double numberFrom(double min) {
            double number = numbers[next++];
            if (!(number >= min && number < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException(
                        "a number is " + number + ", expected a finite number of at least " + min);
            }
            return number;
        }

        double unloadedMs() {
            return numbers[next] == Double.POSITIVE_INFINITY ? numbers[next++] : numberFrom(0);
        }

        /** Reads a sum, which may be negative, and its weight. */
        WeightedSum sum() {
            double sum = numbers[next++];
            double weight = numberFrom(0);
            if (!Double.isFinite(sum)) {
                throw new IllegalArgumentException("a sum is " + sum + ", expected a finite number");
            }
            return new WeightedSum(sum, weight);
        }
    }
}
