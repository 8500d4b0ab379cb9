package peppergauge.thrift.method;

import java.util.List;
import java.util.Optional;
import org.apache.thrift.protocol.TMessageType;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.settings.LoadReportParser;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.Fields;
import peppergauge.thrift.wire.Head;
import peppergauge.thrift.wire.Malformed;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.Value;

/**
 * What came back says of an attempt.
 *
 * @param outcome SUCCESS, also of a declared exception, which is the server's answer; OVERLOADED if it proves that
 *     nothing ran; ERROR of an exception that the server did not declare; BROKEN if it is no answer to this call
 * @param load null if none came along
 */
public record Reply(Outcome outcome, double[] load) {

    /** @param call as it was written to the server, with that sequence id */
    public static Reply judge(Head call, RawMessage reply, Method method, List<LoadField> loadFields) {
        Head head = reply.head();
        boolean answers = head.sequence() == call.sequence() && head.name().equals(call.name());
        if (!answers || head.type() != TMessageType.REPLY && head.type() != TMessageType.EXCEPTION) {
            return new Reply(Outcome.BROKEN, null);
        }
        if (head.type() == TMessageType.EXCEPTION) {
            return new Reply(Outcome.ERROR, null);
        }
        try {
            boolean never =
                    !method.neverRan().isEmpty() && Fields.ids(reply).stream().anyMatch(method.neverRan()::contains);
            return new Reply(never ? Outcome.OVERLOADED : Outcome.SUCCESS, load(reply, method.load(), loadFields));
        } catch (Malformed unreadable) {
            return new Reply(Outcome.BROKEN, null);
        }
    }

    /** A load field that is spoilt is no reason to lose the answer. */
    private static double[] load(RawMessage reply, Optional<FieldPath> path, List<LoadField> loadFields) {
        if (path.isEmpty() || loadFields.isEmpty()) {
            return null;
        }
        try {
            return LoadReportParser.parse(
                    Fields.find(reply, path.get()).map(Value::text).orElse(null), loadFields);
        } catch (Malformed twice) {
            return null;
        }
    }
}
