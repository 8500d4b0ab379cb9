package peppergauge.adapter;

import static peppergauge.adapter.MalformedEventException.expect;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.settings.SettingsReader;

/** Translates events of the simulator's format. Keeps the endpoint lists to which later events refer by index. */
final class EventTranslator {

    /** Number of endpoint lists that events can refer to. */
    private static final int MAX_ENDPOINT_LISTS = 16;

    private final List<List<Endpoint>> endpointLists = new ArrayList<>();

    EventTranslator() {
        for (int i = 0; i < MAX_ENDPOINT_LISTS; i++) {
            endpointLists.add(List.of());
        }
    }

    /**
     * Translates one event.
     *
     * @return null for an event that is not delivered to an instance
     * @throws IllegalArgumentException if the settings of a new instance are not valid
     */
    InstanceInput translate(WireEvent event) throws MalformedEventException {
        return switch (event.text("op")) {
            case "Create" -> start(event);
            case "Retire" -> new InstanceInput.Stop();
            case "List" -> {
                endpointLists.set(listIndex(event), endpoints(event));
                yield null;
            }
            case "RosterChange" -> new InstanceInput.Deliver(endpointUpdate(event));
            case "NewRequest" -> new InstanceInput.Deliver(requestArrived(event));
            case "Outcome" -> new InstanceInput.Deliver(attemptEnded(event));
            case "First" ->
                new InstanceInput.Deliver(
                        new LoadBalancer.ResponseStarted(event.text("id"), (int) event.integer("leg")));
            case "Left" -> new InstanceInput.Deliver(new LoadBalancer.ClientDisconnected(event.text("id")));
            case "Wake" -> new InstanceInput.Deliver(new LoadBalancer.TimerFired(event.integer("ref")));
            case "ProbeDone" -> new InstanceInput.Deliver(probeEnded(event));
            default -> null;
        };
    }

    private static InstanceInput start(WireEvent event) throws MalformedEventException {
        return new InstanceInput.Start(
                new AdaptiveLoadBalancer(SettingsReader.read(event.object("params")), event.integer("salt")));
    }

    private static Event requestArrived(WireEvent event) throws MalformedEventException {
        return new LoadBalancer.RequestArrived(
                event.text("id"),
                (int) event.integer("priority"),
                (int) event.integer("party"),
                event.number("timeBudgetMs"),
                event.flag("againByClient"));
    }

    private static Event attemptEnded(WireEvent event) throws MalformedEventException {
        return new LoadBalancer.AttemptEnded(
                event.text("id"),
                (int) event.integer("leg"),
                event.text("host"),
                outcome(event.text("rc")),
                event.number("tookMs"),
                event.flag("final"),
                event.numbers("serverStats"));
    }

    private static Event probeEnded(WireEvent event) throws MalformedEventException {
        return new LoadBalancer.ProbeEnded(
                event.text("host"), outcome(event.text("rc")), event.number("tookMs"), event.numbers("serverStats"));
    }

    private Event endpointUpdate(WireEvent event) throws MalformedEventException {
        return switch (event.text("form")) {
            case "broken" -> new LoadBalancer.DiscoveryFailed();
            case "patch" -> new LoadBalancer.EndpointsUpdated(false, true, endpointLists.get(listIndex(event)));
            case "whole" -> new LoadBalancer.EndpointsUpdated(true, true, endpointLists.get(listIndex(event)));
            case "stale_copy" -> new LoadBalancer.EndpointsUpdated(true, false, endpointLists.get(listIndex(event)));
            default ->
                throw new MalformedEventException(
                        "form must be broken, patch, whole or stale_copy but is " + event.text("form"));
        };
    }

    private static int listIndex(WireEvent event) throws MalformedEventException {
        long index = event.integer("rosterId");
        expect(index >= 0 && index < MAX_ENDPOINT_LISTS, "rosterId", "0 to " + (MAX_ENDPOINT_LISTS - 1), index);
        return (int) index;
    }

    private static List<Endpoint> endpoints(WireEvent event) throws MalformedEventException {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object element : event.array("elements")) {
            expect(element instanceof Map, "elements", "objects", element);
            endpoints.add(endpoint((Map<?, ?>) element));
        }
        return endpoints;
    }

    private static Endpoint endpoint(Map<?, ?> fields) throws MalformedEventException {
        expect(fields.get("host") instanceof String, "host", "a string", fields.get("host"));
        EndpointState state = switch (String.valueOf(fields.get("mode"))) {
            case "on" -> EndpointState.READY;
            case "fading" -> EndpointState.DRAINING;
            case "off" -> EndpointState.REMOVED;
            default -> throw new MalformedEventException("mode must be on, fading or off but is " + fields.get("mode"));
        };
        return new Endpoint(
                (String) fields.get("host"),
                (int) numberOrZero(fields, "failureDomain"),
                (int) numberOrZero(fields, "unitGroup"),
                state,
                numberOrZero(fields, "startTimeMs"),
                (int) numberOrZero(fields, "kind"));
    }

    private static double numberOrZero(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof Number number ? number.doubleValue() : 0;
    }

    private static Outcome outcome(String code) throws MalformedEventException {
        return switch (code) {
            case "success" -> Outcome.SUCCESS;
            case "failure" -> Outcome.ERROR;
            case "overloaded" -> Outcome.OVERLOADED;
            case "timed_out" -> Outcome.TIMED_OUT;
            case "unreachable" -> Outcome.UNREACHABLE;
            case "broken" -> Outcome.BROKEN;
            case "withdrawn" -> Outcome.CANCELLED;
            case "void" -> Outcome.NEVER_SENT;
            default ->
                throw new MalformedEventException(
                        "rc must be success, failure, overloaded, timed_out, unreachable, broken, withdrawn or void"
                                + " but is " + code);
        };
    }
}
