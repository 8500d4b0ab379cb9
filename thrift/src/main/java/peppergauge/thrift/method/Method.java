package peppergauge.thrift.method;

import java.util.Optional;
import java.util.Set;
import peppergauge.thrift.wire.FieldPath;

/**
 * What the operator's file says of a method, by the settings' numbers.
 *
 * @param requestClass its number in the settings; settles whether a call may run again
 * @param id where the session's id stands; without it each call gets one, and no copy is recognised
 * @param tenant where the tenant's name stands
 * @param key where stands what the call concerns
 * @param remaining where the remaining time stands, in ms; it is rewritten there before each attempt
 * @param absentTenant the tenant's number where its name is absent; -1 if it must be there
 * @param absentRemainingMs the remaining time where it is absent, ms
 * @param neverRan fields of the reply's struct whose presence proves that nothing ran
 * @param load where the load report stands in the reply's struct
 */
public record Method(
        String name,
        int requestClass,
        Optional<FieldPath> id,
        Optional<FieldPath> tenant,
        Optional<FieldPath> key,
        Optional<FieldPath> remaining,
        int absentTenant,
        double absentRemainingMs,
        Set<Short> neverRan,
        Optional<FieldPath> load) {

    public Method {
        neverRan = Set.copyOf(neverRan);
    }
}
