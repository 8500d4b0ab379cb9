package peppergauge.nomad;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import peppergauge.nomad.picture.Allocation;
import peppergauge.nomad.picture.Checks;
import peppergauge.nomad.picture.Node;
import peppergauge.nomad.picture.Picture;
import peppergauge.nomad.picture.Registration;
import peppergauge.nomad.picture.Signs;
import peppergauge.nomad.wire.Agents;
import peppergauge.nomad.wire.Body;
import peppergauge.nomad.wire.Call;
import peppergauge.nomad.wire.Head;
import peppergauge.nomad.wire.Http;
import peppergauge.nomad.wire.Json;
import peppergauge.nomad.wire.Work;
import peppergauge.request.Scheduler;

/**
 * Looks at single allocations, their checks and nodes, one at a time and slowly: what no list tells, and what no event
 * tells while there is no stream. Failures are passed over; a look is only ever one sign more. All on the loop.
 */
final class Looks {

    /** What was seen. */
    interface Listener {

        void saw(Allocation allocation);

        void saw(Node node);

        void saw(String allocation, Signs checks);
    }

    /**
     * @param all whether all of the answer's fields are needed
     * @param read makes of the answer, beside the loop, what is then done on the loop
     */
    private record Look(String id, String target, boolean all, Function<Object, Runnable> read) {}

    private final NomadSettings settings;
    private final Http http;
    private final Work work;
    private final Json json;
    private final Scheduler loop;
    private final RandomGenerator random;
    private final Picture picture;
    private final BooleanSupplier streams;
    private final Listener listener;
    private final Agents agents;
    /** Looked at once, whatever came of it: what cannot be seen must not keep the others from being looked at. */
    private final Set<String> tried = new HashSet<>();

    private int turn;
    private Call out;
    private Scheduler.ScheduledTask next;
    private boolean closed;

    Looks(
            NomadSettings settings,
            Http http,
            Work work,
            Json json,
            Scheduler loop,
            RandomGenerator random,
            Picture picture,
            BooleanSupplier streams,
            Listener listener) {
        this.settings = settings;
        this.http = http;
        this.work = work;
        this.json = json;
        this.loop = loop;
        this.random = random;
        this.picture = picture;
        this.streams = streams;
        this.listener = listener;
        agents = new Agents(settings.agents());
    }

    void start() {
        if (settings.lookMs() > 0) {
            later();
        }
    }

    void close() {
        closed = true;
        if (next != null) {
            next.cancel();
        }
        if (out != null) {
            out.drop();
        }
    }

    private void later() {
        if (!closed) {
            next = loop.schedule(settings.lookMs() * (0.5 + random.nextDouble()), this::look);
        }
    }

    private void look() {
        Look look = choose(picture.registrations());
        if (closed || look == null) {
            later();
            return;
        }
        String namespace =
                settings.namespace().isEmpty() ? "" : "?namespace=" + ServiceQuery.escaped(settings.namespace());
        if (tried.size() > settings.bounds().entries()) {
            tried.clear();
        }
        tried.add(look.id());
        out = http.get(
                agents.present(),
                look.target() + namespace,
                settings.answerMs(),
                settings.answerMs(),
                new Body(settings.bounds().bytes()) {
                    @Override
                    protected void answered(Head head, byte[] body) {
                        work.run(() -> look.read().apply(json.read(body, look.all())), Runnable::run, why -> {});
                        later();
                    }

                    @Override
                    protected void refused(Head head) {
                        if (head.status() != 404) {
                            agents.next();
                        }
                        later();
                    }

                    @Override
                    protected void lost(String why) {
                        agents.next();
                        later();
                    }
                });
    }

    /** What nothing is known of yet goes first, else all in turn. */
    private Look choose(List<Registration> registrations) {
        for (Registration each : registrations) {
            if (!each.node().isEmpty() && !picture.knowsNode(each.node()) && !tried.contains(each.node())) {
                return node(each.node());
            }
        }
        for (Registration each : registrations) {
            if (!each.allocation().isEmpty()
                    && !picture.knowsAllocation(each.allocation())
                    && !tried.contains(each.allocation())) {
                return allocation(each.allocation());
            }
        }
        if (registrations.isEmpty()) {
            return null;
        }
        Registration each = registrations.get(turn / 3 % registrations.size());
        int kind = turn % 3;
        turn += streams.getAsBoolean() ? 3 - kind : 1;
        if (!each.node().isEmpty() && kind == 2) {
            return node(each.node());
        }
        return kind == 0 ? checks(each.allocation()) : allocation(each.allocation());
    }

    private Look node(String id) {
        return new Look(id, "/v1/node/" + ServiceQuery.escaped(id), false, answer -> {
            Node node = Node.of(answer);
            return () -> listener.saw(node);
        });
    }

    private Look allocation(String id) {
        return new Look(id, "/v1/allocation/" + ServiceQuery.escaped(id), false, answer -> {
            Allocation allocation = Allocation.of(answer);
            return () -> listener.saw(allocation);
        });
    }

    private Look checks(String id) {
        return new Look(id, "/v1/client/allocation/" + ServiceQuery.escaped(id) + "/checks", true, answer -> {
            Signs signs = answer instanceof Map<?, ?> found ? Checks.of(found, settings.service()) : Signs.NONE;
            return () -> listener.saw(id, signs);
        });
    }
}
