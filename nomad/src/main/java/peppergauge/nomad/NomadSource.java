package peppergauge.nomad;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.log.Log;
import peppergauge.membership.ReportedEndpoint;
import peppergauge.membership.ReportedStatus;
import peppergauge.membership.SourceUpdate;
import peppergauge.nomad.picture.Allocation;
import peppergauge.nomad.picture.Node;
import peppergauge.nomad.picture.Picture;
import peppergauge.nomad.picture.Registration;
import peppergauge.nomad.picture.Signs;
import peppergauge.nomad.wire.Http;
import peppergauge.nomad.wire.Json;
import peppergauge.nomad.wire.TokenFile;
import peppergauge.nomad.wire.Work;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

/**
 * One service of Nomad's as a source of news: at most one query for changes, one stream and one look are open at a
 * time. All on the loop, but for {@link #start}.
 */
public final class NomadSource {

    private static final double TOKEN_MS = 5_000;
    /** Lists that tell something else than the stream, one after the other, before it counts as mute. */
    private static final int BEHIND = 2;

    private static final int MOST_NODE_WAIT_MS = 2_100;

    /** Where the news goes. */
    public interface Sink {

        /** Takes news; whether it counts as the source's present word. */
        boolean tell(SourceUpdate news);

        /** Whether a loss, or a version that went back, waits to be told again. */
        boolean confirms(String source);
    }

    private final String name;
    private final NomadSettings settings;
    private final Clock clock;
    private final Scheduler loop;
    private final RandomGenerator random;
    private final Sink sink;
    private final Picture picture;
    private final TokenFile token;
    private final ServiceQuery query;
    private final EventStream stream;
    private final Looks looks;
    private long highest;
    private boolean queryLost;
    private long serviceEvents;
    private long eventsAtList;
    private int behind;
    private volatile boolean closed;

    /** @param name by which the sink knows it */
    public NomadSource(
            String name,
            NomadSettings settings,
            Http http,
            TokenFile token,
            Work work,
            Scheduler loop,
            Clock clock,
            RandomGenerator random,
            Sink sink) {
        this.name = name;
        this.settings = settings;
        this.clock = clock;
        this.loop = loop;
        this.random = random;
        this.sink = sink;
        picture = new Picture(
                settings.mapping(),
                settings.ineligibleLeaves(),
                settings.bounds().entries());
        this.token = token;
        Json json = new Json(settings.bounds());
        query = new ServiceQuery(settings, http, work, json, token, loop, clock, random, new FromQuery());
        stream = new EventStream(settings, http, work, json, loop, random, new FromStream());
        looks = new Looks(settings, http, work, json, loop, random, picture, stream::lives, new FromLooks());
    }

    /**
     * Begins to ask; from any thread.
     *
     * @param withinMs the first query is sent at a random time within this
     */
    public void start(double withinMs) {
        loop.execute(() -> token.reread(changed -> {
            query.start(random.nextDouble() * withinMs);
            looks.start();
            rereadToken();
        }));
    }

    private void rereadToken() {
        if (!closed && settings.token().isPresent()) {
            loop.schedule(TOKEN_MS, () -> token.reread(changed -> rereadToken()));
        }
    }

    /** Closes what is open; nothing is told any more. */
    public void close() {
        closed = true;
        loop.execute(() -> {
            query.close();
            stream.close();
            looks.close();
        });
    }

    /** What Nomad says of a server that the module has no place for; empty if the server is not known. */
    String describe(String id) {
        return picture.describe(id);
    }

    private boolean tell(SourceUpdate news) {
        return !closed && sink.tell(news);
    }

    private void affected(long version, Predicate<Registration> by) {
        List<ReportedEndpoint> servers = picture.affected(clock.nowMs(), by);
        if (!servers.isEmpty()) {
            tell(new SourceUpdate.Changes(name, version, servers));
        }
    }

    private void saw(Allocation allocation) {
        if (picture.allocation(clock.nowMs(), allocation)) {
            affected(0, each -> each.allocation().equals(allocation.id()));
        }
    }

    private void saw(Node node) {
        if (picture.node(clock.nowMs(), node)) {
            affected(0, each -> each.node().equals(node.id()));
        }
    }

    private final class FromQuery implements ServiceQuery.Listener {

        @Override
        public long listed(long index, boolean firm, List<Registration> list) {
            double now = clock.nowMs();
            queryLost = false;
            compareWithStream(list);
            boolean newer = index >= highest;
            if (newer && firm) {
                picture.listed(now, list);
            } else if (newer) {
                list.forEach(each -> picture.registered(now, each));
            }
            List<ReportedEndpoint> servers = newer && firm ? picture.servers(now) : picture.unbelieved(now, list);
            boolean counts = tell(new SourceUpdate.CompleteList(name, index, firm, servers));
            if (counts && !newer) {
                picture.listed(now, list);
            }
            highest = counts ? index : highest;
            if (settings.stream()) {
                stream.watch(index, picture.jobs());
            }
            if (picture.anyWaits(now)) {
                loop.schedule(MOST_NODE_WAIT_MS, () -> affected(0, each -> true));
            }
            return counts ? index : 0;
        }

        /** Guards against a stream that beats and tells nothing. */
        private void compareWithStream(List<Registration> list) {
            boolean told = serviceEvents != eventsAtList;
            eventsAtList = serviceEvents;
            behind = !stream.lives() || told || highest == 0 || picture.holds(list) ? 0 : behind + 1;
            if (behind >= BEHIND) {
                behind = 0;
                stream.mute();
            }
        }

        @Override
        public void lost(String why) {
            queryLost = true;
            if (!stream.lives()) {
                tell(new SourceUpdate.Lost(name));
            }
        }

        @Override
        public boolean confirms() {
            return sink.confirms(name);
        }

        @Override
        public boolean streams() {
            return stream.lives();
        }
    }

    private final class FromStream implements EventStream.Listener {

        @Override
        public void event(long index, String topic, String type, String key, Map<?, ?> payload) {
            try {
                switch (topic) {
                    case "Service" -> service(index, type, Registration.of(payload.get("Service")));
                    case "Allocation" -> saw(Allocation.of(payload.get("Allocation")));
                    case "Node" -> saw(Node.of(payload.get("Node")));
                    default -> {}
                }
            } catch (IllegalArgumentException unusable) {
                Log.line("nomad", "an event passed over: " + unusable.getMessage());
            }
        }

        private void service(long index, String type, Registration one) {
            serviceEvents++;
            if (index < highest) {
                // The list has told what came of it.
                return;
            }
            highest = index;
            if (type.equals("ServiceDeregistration")) {
                if (picture.deregistered(one.id())) {
                    Endpoint entry = new Endpoint(one.id(), 0, 0, EndpointState.REMOVED, 0);
                    tell(new SourceUpdate.Changes(
                            name,
                            index,
                            List.of(new ReportedEndpoint(
                                    entry, one.address(), ReportedStatus.STOPPED, "its registration is gone"))));
                }
            } else if (picture.registered(clock.nowMs(), one)) {
                affected(index, each -> each.id().equals(one.id()));
                stream.watch(index, picture.jobs());
            }
        }

        @Override
        public void lives() {
            tell(new SourceUpdate.Alive(name));
        }

        @Override
        public void lost() {
            query.hurry();
            if (queryLost) {
                tell(new SourceUpdate.Lost(name));
            }
        }
    }

    private final class FromLooks implements Looks.Listener {

        @Override
        public void saw(Allocation allocation) {
            NomadSource.this.saw(allocation);
        }

        @Override
        public void saw(Node node) {
            NomadSource.this.saw(node);
        }

        @Override
        public void saw(String allocation, Signs checks) {
            if (picture.checks(allocation, checks)) {
                affected(0, each -> each.allocation().equals(allocation));
            }
        }
    }
}
