package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.Balancer.Action;
import peppergauge.decision.Balancer.AttemptEnded;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.Event;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.RequestArrived;
import peppergauge.decision.Balancer.Send;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Balancer.ServersListed;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Balancer;

/** Guards of the module switched off one at a time: by what it is told, or by what becomes of what it asks for. */
enum Faults implements Sabotage {

    /** The module takes what may have run for what never did, so that it sends again what must not run twice. */
    NO_DONATION_GUARD {
        @Override
        Event told(Event event, Settings settings, Map<String, Integer> classes) {
            return event instanceof AttemptEnded end && end.outcome() == Outcome.BROKEN ? new AttemptEnded(end.id(),
                    end.attempt(), end.server(), Outcome.NEVER_SENT, end.tookMs(), end.requestDone(), end.load(),
                    end.lagMs()) : event;
        }
    },

    /** The module takes a server that drains for one that is ready. */
    NO_DRAIN_CHECK {
        @Override
        Event told(Event event, Settings settings, Map<String, Integer> classes) {
            return event instanceof ServersListed listed ? new ServersListed(listed.whole(), listed.answersWatch(),
                    listed.entries().stream().map(entry -> new ServerEntry(entry.server(), entry.zone(), entry.cell(),
                            entry.state() == ServerState.DRAINING ? ServerState.READY : entry.state(),
                            entry.startedMs())).toList()) : event;
        }
    },

    /** No long wait of a sidecar ends: neither the module's, nor that of an attempt, nor the session's own. */
    NO_DEADLINE_TIMER {
        @Override
        public boolean swallows(double ms) {
            return ms > 300;
        }
    },

    /** Each attempt goes out twice, to two servers. */
    TWO_ATTEMPTS {
        @Override
        List<Action> asked(Action action, List<String> servers) {
            return action instanceof Send send ? List.of(send, new Send(send.id(), servers.get(send.server().equals(
                    servers.get(0)) ? 1 : 0), send.timeoutMs())) : List.of(action);
        }
    },

    /** The module takes every server for one that has always been there. */
    NO_COLD_BUDGET {
        @Override
        Event told(Event event, Settings settings, Map<String, Integer> classes) {
            return event instanceof ServersListed listed ? new ServersListed(listed.whole(), listed.answersWatch(),
                    listed.entries().stream().map(entry -> new ServerEntry(entry.server(), entry.zone(), entry.cell(),
                            entry.state(), 0)).toList()) : event;
        }
    },

    /** A denial of what may have run. */
    DENIES_WHAT_RAN {
        @Override
        List<Action> asked(Action action, List<String> servers) {
            return action instanceof Balancer.Fail fail ? List.of(new Balancer.Refuse(fail.id(), 0))
                    : List.of(action);
        }
    },

    /** The module throws at each hundredth denial. */
    THROWS {
        @Override
        List<Action> asked(Action action, List<String> servers) {
            if (action instanceof Balancer.Refuse) {
                throw new IllegalStateException("planted");
            }
            return List.of(action);
        }
    };

    Event told(Event event, Settings settings, Map<String, Integer> classes) {
        return event;
    }

    List<Action> asked(Action action, List<String> servers) {
        return List.of(action);
    }

    @Override
    public Balancer instead(Balancer module, Settings settings) {
        Map<String, Integer> classes = new HashMap<>();
        List<String> servers = new ArrayList<>();
        return (now, event, actions) -> {
            if (event instanceof ServersListed listed) {
                listed.entries().stream().filter(entry -> !servers.contains(entry.server()))
                        .forEach(entry -> servers.add(entry.server()));
            }
            module.on(now, told(event, settings, classes), action -> asked(action, servers).forEach(actions));
        };
    }
}
