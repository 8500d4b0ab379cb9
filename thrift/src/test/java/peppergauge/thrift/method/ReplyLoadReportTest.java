package peppergauge.thrift.method;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.RawMessage;

/** Load reports in a field of a reply: present, absent and invalid ones. */
public class ReplyLoadReportTest {

    private static final List<LoadField> FIELDS = List.of(LoadField.IN_FLIGHT, LoadField.QUEUED, LoadField.LATENCY_MS);

    @DataProvider
    public Object[][] reports() {
        double nan = Double.NaN;
        Object[][] cases = {
            {"0.32767", "inflight=7,queue=2,latency_ms=31.5", 1, new double[] {7, 2, 31.5}},
            {"0.32767", "queue=2", 1, new double[] {nan, 2, nan}},
            {"0.32767", "inflight=7,queue=-2", 1, null},
            {"0.32767", "inflight=7,queue", 1, null},
            {"0.32767", "", 1, null},
            {"0.32767", null, 1, null},
            {"0.32766", "inflight=7", 1, null},
            {"1.32767", "inflight=7", 1, null},
            // A duplicate field is ambiguous, so there is no load report.
            {"0.32767", "inflight=7", 2, null},
        };
        Object[][] all = new Object[cases.length * Encoding.values().length][];
        for (int i = 0; i < all.length; i++) {
            Object[] row = cases[i % cases.length];
            all[i] = new Object[] {Encoding.values()[i / cases.length], row[0], row[1], row[2], row[3]};
        }
        return all;
    }

    @Test(dataProvider = "reports")
    public void readsLoadReportFromItsFieldOrSucceedsWithoutOne(
            Encoding encoding, String path, String report, int occurrences, double[] expected) throws TException {
        MethodConfig method = new MethodConfig(
                "list",
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                1_000,
                Set.of(),
                Optional.of(FieldPath.parse(path)));
        RawMessage call = message(encoding, TMessageType.CALL, null, 1);
        RawMessage reply = message(encoding, TMessageType.REPLY, report, occurrences);
        ReplyEvaluation evaluation = ReplyEvaluation.evaluate(call.header(), reply, method, FIELDS);
        assertEquals(evaluation.outcome(), Outcome.SUCCESS);
        assertEquals(Arrays.toString(evaluation.loadReport()), Arrays.toString(expected));
    }

    private static RawMessage message(Encoding encoding, byte type, String report, int occurrences) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(256);
        TProtocol to = encoding == Encoding.COMPACT
                ? new TCompactProtocol(buffer)
                : new TBinaryProtocol(buffer, false, encoding == Encoding.BINARY);
        to.writeMessageBegin(new TMessage("list", type, 5));
        to.writeStructBegin(new TStruct());
        to.writeFieldBegin(new TField("", TType.STRUCT, (short) 0));
        to.writeStructBegin(new TStruct());
        for (int i = 0; i < occurrences && report != null; i++) {
            to.writeFieldBegin(new TField("", TType.STRING, Short.MAX_VALUE));
            to.writeString(report);
            to.writeFieldEnd();
        }
        to.writeFieldStop();
        to.writeStructEnd();
        to.writeFieldEnd();
        to.writeFieldStop();
        to.writeStructEnd();
        to.writeMessageEnd();
        return RawMessage.of(encoding, Arrays.copyOf(buffer.getArray(), buffer.length()));
    }
}
