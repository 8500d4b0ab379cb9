package peppergauge.thrift.method;

import java.util.List;
import java.util.Optional;
import org.apache.thrift.protocol.TMessageType;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.settings.LoadReportParser;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.FieldReader;
import peppergauge.thrift.wire.FieldValue;
import peppergauge.thrift.wire.MalformedMessageException;
import peppergauge.thrift.wire.MessageHeader;
import peppergauge.thrift.wire.RawMessage;

/**
 * The outcome of an attempt by its reply.
 *
 * @param outcome SUCCESS for a result or a declared exception, which is a regular response of the server; OVERLOADED if
 *     the reply proves that the call was not executed; ERROR for an exception that the method does not declare; BROKEN
 *     if the message is not a reply to this call
 * @param loadReport null if the reply has none
 */
public record ReplyEvaluation(Outcome outcome, double[] loadReport) {

    /** @param call the header that was written to the server, with the sequence id of the attempt */
    public static ReplyEvaluation evaluate(
            MessageHeader call, RawMessage reply, MethodConfig method, List<LoadField> loadFields) {
        MessageHeader header = reply.header();
        byte type = header.messageType();
        boolean isReplyToCall =
                header.sequenceId() == call.sequenceId() && header.methodName().equals(call.methodName());
        if (!isReplyToCall || type != TMessageType.REPLY && type != TMessageType.EXCEPTION) {
            return new ReplyEvaluation(Outcome.BROKEN, null);
        }
        if (type == TMessageType.EXCEPTION) {
            return new ReplyEvaluation(Outcome.ERROR, null);
        }
        try {
            boolean isNotExecuted = !method.notExecutedFields().isEmpty()
                    && FieldReader.fieldIds(reply).stream().anyMatch(method.notExecutedFields()::contains);
            return new ReplyEvaluation(
                    isNotExecuted ? Outcome.OVERLOADED : Outcome.SUCCESS,
                    readLoadReport(reply, method.loadReportPath(), loadFields));
        } catch (MalformedMessageException unreadable) {
            return new ReplyEvaluation(Outcome.BROKEN, null);
        }
    }

    /** Returns null also for an invalid load report, since the reply itself is valid. */
    private static double[] readLoadReport(RawMessage reply, Optional<FieldPath> path, List<LoadField> loadFields) {
        if (path.isEmpty() || loadFields.isEmpty()) {
            return null;
        }
        try {
            return LoadReportParser.parse(
                    FieldReader.find(reply, path.get()).map(FieldValue::text).orElse(null), loadFields);
        } catch (MalformedMessageException fieldOccursTwice) {
            return null;
        }
    }
}
