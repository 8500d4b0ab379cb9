package peppergauge.thrift.method;

import java.util.Optional;
import java.util.Set;
import peppergauge.thrift.wire.FieldPath;

/**
 * The configuration of a method. Paths of call attributes begin in the struct of arguments.
 *
 * @param requestClass index of its class in the settings, which decides whether a call may be executed again
 * @param idPath of the request id; without it each call gets a new id, and duplicates are not detected
 * @param tenantPath of the tenant's name
 * @param keyPath of the key, which tells what the call concerns
 * @param remainingTimePath of the remaining time in ms, which is rewritten before each attempt
 * @param defaultTenant index in the settings of the tenant of calls that name none; -1 if they are rejected
 * @param defaultRemainingMs the remaining time of calls that contain none
 * @param notExecutedFields field ids of the struct of results; their presence proves that the call was not executed
 * @param loadReportPath of the load report, in the struct of results
 */
public record MethodConfig(
        String name,
        int requestClass,
        Optional<FieldPath> idPath,
        Optional<FieldPath> tenantPath,
        Optional<FieldPath> keyPath,
        Optional<FieldPath> remainingTimePath,
        int defaultTenant,
        double defaultRemainingMs,
        Set<Short> notExecutedFields,
        Optional<FieldPath> loadReportPath) {

    public MethodConfig {
        notExecutedFields = Set.copyOf(notExecutedFields);
    }
}
