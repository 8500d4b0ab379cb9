package peppergauge.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Every decision of peppergauge. Its interface (settings, events, actions) is in {@code LoadBalancer.java}.
 *
 * <p>The mechanism is that of "Load balancing beyond healthchecks": passive per-server failure share,
 * latency, requests in flight and age become factors in [0,1]; multiplied and steepened against the
 * cluster's best they are the weights of a random draw. The file reads in the order in which a request
 * meets it: events in, health, weights, draw, attempts, refusals, membership, cold starts.
 */
public final class AdaptiveLoadBalancer implements LoadBalancer {

    /** Half-life of failure shares and latencies, ms: the design's 5 s. */
    static final double HALF_LIFE_MS = 5_000;
    /** Half-life of the share of errors just now: a server that begins to fail is idle and draws traffic. */
    static final double LATELY_MS = 1_000;
    /** Outcomes' worth of the others' mean mixed into each server's figures: few outcomes are noise. */
    static final double PRIOR_OUTCOMES = 6;
    /** The same for errors just now: more would hide their beginning, less would take one for it. */
    private static final double PRIOR_LATELY = 3;
    /** Most that a latency sample counts, in means of fleet or server: one costly request is not a server. */
    private static final double SAMPLE_CAP = 4;
    /** Least that an answer counts as taking, ms: a mean of only 0 is divided by, and NaN never fades. */
    private static final double LEAST_TOOK_MS = 0.01;
    /** Squared spread of in-flight counts at which what was seen outweighs the first guess of crowding. */
    static final double CROWDING_PRIOR = 10;
    /** Power of the product of factors: 0.9 of the best's health gets 0.9^15, about a fifth of its weight. */
    private static final double STEEPNESS = 15;
    /** Least share of the best condition that a failed server keeps, so that trial traffic reaches it. */
    private static final double CONDITION_FLOOR = 0.004;
    /** A server is bad when its condition is under this share of the fleet's upper quartile. */
    private static final double BAD_CUT = 0.5;
    /** Under this share of the soundest's success a server fails, and is drawn by the floor alone. */
    private static final double FAILING_CUT = 0.85;
    /** Expected latency up to this many times the fleet's unloaded latency leaves room to send. */
    private static final double ROOM = 2.8;
    /** Own requests in flight that a server may always have: less would idle it between answers. */
    private static final double LEAST_FLIGHT = 2;
    /** Own requests in flight that an instance may always have: more where it has a share of many servers. */
    private static final double LEAST_OUT = 4;
    /** Slack of the in-flight limit, in roots of the busy count, as in square-root staffing. */
    private static final double FLIGHT_SLACK = 2;
    /** Growth of the unloaded latency per second, so that a fleet that has become slower is believed. */
    static final double UNLOADED_GROWTH_PER_S = 0.01;
    /** Reported service times in a mean answer of a busy, uncrowded fleet; 1 to 3 serve alike. */
    private static final double TOLD_TIMES = 1.75;
    /** Service times left before the aim at which a hold, a client's wait and a service still fit in. */
    private static final double RETURN_SERVICES = 4;
    /** With less than this many mean service times left before the aim, sending is in vain. */
    private static final double LAST_CALL = 1.2;
    /** Most doublings of the rest after failures on end: 2^5 service times, then trial traffic again. */
    private static final int REST_DOUBLINGS = 5;
    /** Service times in which a report of requests in flight fades into the mean of the server's kind. */
    private static final double REPORT_TIMES = 3;
    /** Members that an instance keeps connections to at the least where these are dear: one is idle then. */
    private static final int LEAST_MEMBERS = 8;
    /** Further members for each of its requests in flight: of more it could not know the load. */
    private static final double MEMBERS_PER_FLIGHT = 4;
    /** Power of how far answers take too long: with 2 a hundred keep choked servers from ever being idle. */
    private static final double CALM_POWER = 3;
    /** Instances that share a server from which on a crush is told by the aim, not by own figures. */
    private static final double MANY = 10;
    /** A member that owes answers for so many mean latencies is replaced for the time. */
    private static final double SILENT_TIMES = 3;
    /** From so many times its expected latency on an attempt is overdue, if the server answers others. */
    private static final double OVERDUE_TIMES = 6;
    /** From this share of errors in all outcomes on, an error follows the request and is not tried again. */
    private static final double ERRORS_FOLLOW_REQUESTS = 0.15;
    /** Share of the cold-start budget that all balancers together may plan to use. */
    private static final double COLD_SAFETY = 0.9;
    /** The same where each works with a part of the servers: how many work with one is chance, too. */
    private static final double COLD_SAFETY_PARTIAL = 0.75;
    /** Longest first wait before a watch, and first back-off, ms: balancers that start in step spread out. */
    private static final double WATCH_SPREAD_MS = 500;
    /** The same for each balancer, ms: discovery answers few calls a second, and calls in step fail. */
    private static final double WATCH_SPREAD_EACH_MS = 10;
    /** Longest back-off between watch calls, ms. */
    private static final double WATCH_BACKOFF_MS = 4_000;
    /** Unused share that a tenant may save up, seconds of its quota. */
    private static final double SHARE_BURST_S = 1;

    private static final double TRIAL_CONDITION = Math.pow(CONDITION_FLOOR, 1 / STEEPNESS);
    static final double LN2 = Math.log(2);

    private final Settings settings;
    private final SplittableRandom random;
    /** A cancel may leave the work running: without a reported in-flight figure it would be out of sight. */
    private final boolean cancelHelps;

    final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<Long, Timer> timers = new HashMap<>();
    private final LinkedHashMap<String, Request> held = new LinkedHashMap<>();
    final ClassStats[] classStats;
    private final double[][] shares;
    final Decaying fleetLatency = new Decaying(HALF_LIFE_MS), fleetUnit = new Decaying(HALF_LIFE_MS);
    final Decaying fleetErrors = new Decaying(HALF_LIFE_MS), flights = new Decaying(HALF_LIFE_MS);
    final Decaying crowd = new Decaying(HALF_LIFE_MS);
    final Decaying served = new Decaying(HALF_LIFE_MS);
    /** How long answers were waited for just now, also those given up on: by it a crush begins and ends. */
    private final Decaying tookLately = new Decaying(LATELY_MS);
    /** How long answers and requests waited for this host itself. */
    private final Decaying lag = new Decaying(LATELY_MS);

    final Decaying covariance = new Decaying(4 * HALF_LIFE_MS);
    final Decaying variance = new Decaying(4 * HALF_LIFE_MS);
    final Decaying arrivals = new Decaying(4 * HALF_LIFE_MS);
    /** The same just now: when other instances die their clients come here, three times as many at once. */
    private final Decaying rush = new Decaying(LATELY_MS);

    private final Map<Integer, Kind> kinds = new HashMap<>();
    /** Times of requests taken and of further attempts within the budget's window. */
    private final Recent taken = new Recent(), further = new Recent();

    private final long affinity;
    /** All servers, those that this instance has most affinity to first; and the ones it works with. */
    List<Server> ordered = List.of();

    private final List<Server> pool = new ArrayList<>();
    private double mostMembers;
    /** Sum of the lots of all cold members, as shares of the requests. */
    private double lots;
    /** Whether there are usable servers that it does not work with. */
    private boolean partial;

    private double[] scratch = new double[16];
    /** By tenant and zone, the share of requests for which the zone stands in the draw; else it is 1. */
    private double[][] leanings = {};

    double nowMs, firstEventMs = Double.NaN, firstArrivalMs = Double.NaN;
    double crowding = 0.5;
    double unloadedMs = Double.POSITIVE_INFINITY, unloadedAtMs;
    private int readyServers = 1, outNow, watchFailures;
    private boolean watchAsked;
    private Consumer<Action> actions;
    private long lastToken;

    /** Starts an instance that knows nothing but its settings. */
    public AdaptiveLoadBalancer(Settings settings, long seed) {
        this.settings = settings;
        this.shares = new double[settings.tenants().size()][2];
        this.random = new SplittableRandom(seed);
        this.affinity = random.nextLong();
        boolean inFlightTold = settings.loadFields().contains(LoadField.IN_FLIGHT);
        this.cancelHelps = settings.limits().cancellation() && inFlightTold;
        this.classStats = new ClassStats[settings.classes().size()];
        Arrays.setAll(classStats, i -> new ClassStats());
    }

    // ---- Events in ----

    @Override
    public void handle(double now, Event event, Consumer<Action> out) {
        nowMs = now;
        firstEventMs = Double.isNaN(firstEventMs) ? now : firstEventMs;
        actions = out;
        if (event instanceof RequestArrived arrived) {
            onRequest(arrived);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof TimerFired due) {
            onTimer(due.token());
        } else if (event instanceof EndpointsUpdated listed) {
            onServersListed(listed);
        } else if (event instanceof DiscoveryFailed) {
            onDiscoveryFailed();
        } else if (event instanceof ZoneWeightsUpdated steered) {
            leanings = steered.weights();
        } else if (event instanceof ClientDisconnected left) {
            Request request = requests.get(left.id());
            if (request != null && !request.answered) {
                close(request);
            }
        } else if (event instanceof ResponseStarted started) {
            Request request = requests.get(started.id());
            Request.Attempt attempt = request == null ? null : request.out(started.attempt());
            if (attempt != null) {
                request.streaming = true;
                // From here on it lasts as its client likes: that says nothing of the server's load.
                outNow -= attempt.server.out.remove(attempt) ? 1 : 0;
            }
        }
    }

    @Override
    public LearnedState exportState(double now, int from, int most) {
        return Memory.read(this, now, from, most);
    }

    @Override
    public void importState(double now, LearnedState learned, double ageMs) {
        new Memory(this).write(now, learned, ageMs);
    }

    private void onRequest(RequestArrived arrived) {
        taken.add(nowMs);
        furtherWithinBudget();
        RequestClass kind = settings.classes().get(arrived.requestClass());
        ClassStats stats = classStats[arrived.requestClass()];
        double spentMs = stats.spentBefore(kind, arrived.timeoutMs());
        Request request = new Request(
                arrived.id(),
                kind,
                stats,
                nowMs + kind.latencyObjectiveMs() - spentMs,
                nowMs + arrived.timeoutMs(),
                nowMs + kind.deadlineMs() - spentMs);
        request.arrivedMs = nowMs;
        request.lot = random.nextDouble();
        arrivals.add(nowMs, 1);
        rush.add(nowMs, 1);
        firstArrivalMs = Double.isNaN(firstArrivalMs) ? nowMs : firstArrivalMs;
        request.tenant = arrived.tenant();
        request.over = arrived.clientRetry() || overShare(arrived.tenant());
        requests.put(request.id, request);
        double endMs = Math.min(request.usefulUntilMs(), request.deadlineMs) - settings.tickMs();
        if (endMs <= nowMs) {
            giveUp(request);
            return;
        }
        setTimer(endMs, new Timer(TimerKind.END, request));
        place(request);
    }

    private void onTimer(long token) {
        Timer timer = timers.remove(token);
        if (timer == null) {
            return;
        }
        switch (timer.kind()) {
            case WATCH -> actions.accept(new OpenWatch());
            case END -> onEnd(timer.request());
            case OVERDUE -> onOverdue(timer.request());
            case LAST_CALL -> onLastCall(timer.request());
        }
    }

    /** Counts a tenant's request; whether it lies beyond the tenant's share of the fleet. */
    private boolean overShare(int tenant) {
        if (tenant < 0 || tenant >= shares.length) {
            return false;
        }
        double quota = settings.tenants().get(tenant).quotaPerS();
        double[] share = shares[tenant];
        share[0] = Math.min(quota * SHARE_BURST_S, share[0] + quota * (nowMs - share[1]) / 1000);
        share[1] = nowMs;
        if (quota <= 0 || share[0] < 1) {
            return quota > 0;
        }
        share[0] -= 1;
        return false;
    }

    // ---- Health ----

    private void onAttemptEnded(AttemptEnded ended) {
        Request request = requests.get(ended.id());
        Request.Attempt attempt = request == null ? null : request.out(ended.attempt());
        if (attempt == null) {
            return;
        }
        Server server = attempt.server;
        attempt.ended = ended.outcome();
        if (ended.outcome() == Outcome.NEVER_SENT && attempt.number > 0) {
            further.remove(attempt.sentMs);
        }
        request.outCount--;
        outNow -= server.out.remove(attempt) ? 1 : 0;
        Outcome outcome = ended.outcome();
        if (partial && outcome == Outcome.CANCELLED && overdue(attempt)) {
            // Giving up on it is no word from the server: one that vanished would be tried again and again.
            outcome = Outcome.TIMED_OUT;
        } else if (!partial || outcome != Outcome.CANCELLED && outcome != Outcome.TIMED_OUT) {
            server.lastHeardMs = nowMs;
        }
        if (ended.outcome() == Outcome.SUCCESS) {
            server.lastAnsweredSentMs = Math.max(server.lastAnsweredSentMs, attempt.sentMs);
        }
        readLoad(server, ended.loadReport());
        if (ended.outcome() == Outcome.SUCCESS) {
            lag.add(nowMs, ended.localDelayMs());
        }
        double unitMs = unitLatency(request, attempt, ended);
        learn(server, outcome, unitMs);
        if (ended.requestCompleted() && !request.answered) {
            close(request);
        } else if (!request.answered && !request.streaming && request.outCount == 0) {
            if (followsRequest(ended.outcome())) {
                giveUp(request);
            } else {
                place(request);
            }
        }
        forgetIfOver(request);
        offerHeld();
    }

    /**
     * Whether a failure like this would follow the request to the next server. One in hand when a server died
     * may have killed it, and would kill the next: its client is told to stay away. Errors at every turn are
     * the requests' own. Costs the few innocent that a plain crash takes along.
     */
    private boolean followsRequest(Outcome outcome) {
        return outcome == Outcome.BROKEN
                || (outcome == Outcome.ERROR
                        && fleetErrors.sum(nowMs)
                                > ERRORS_FOLLOW_REQUESTS * (fleetErrors.weight(nowMs) + PRIOR_OUTCOMES));
    }

    /** Latency cleared of class, queue met and age: a mean request's at the idle server. */
    private double unitLatency(Request request, Request.Attempt attempt, AttemptEnded ended) {
        boolean cutShort = ended.outcome() == Outcome.CANCELLED && ended.latencyMs() > attempt.expectedMs;
        if (ended.outcome() != Outcome.SUCCESS && ended.outcome() != Outcome.TIMED_OUT && !cutShort) {
            return 0;
        }
        double tookMs = Math.max(LEAST_TOOK_MS, ended.latencyMs());
        double normalMs = tookMs / request.stats.lastFactor;
        if (ended.outcome() == Outcome.SUCCESS || !overdue(attempt)) {
            tookLately.add(nowMs, normalMs);
        }
        if (ended.outcome() == Outcome.SUCCESS) {
            request.stats.latency.add(nowMs, tookMs);
            fleetLatency.add(nowMs, normalMs);
            ClassStats.overallAdd(classStats, nowMs, tookMs);
            double mean = fleetLatency.mean(nowMs);
            unloadedMs *= 1 + UNLOADED_GROWTH_PER_S * (nowMs - unloadedAtMs) / 1000;
            unloadedAtMs = nowMs;
            if (fleetLatency.weight(nowMs) >= PRIOR_OUTCOMES) {
                unloadedMs = Math.min(unloadedMs, Math.min(mean, toldUnloadedMs()));
            }
        }
        double warmMs = normalMs * attempt.capacity;
        if (ended.outcome() == Outcome.SUCCESS) {
            learnCrowding(attempt, warmMs);
        }
        return warmMs / (1 + crowding * attempt.inFlight);
    }

    /**
     * The unloaded latency by the servers' own word: service time without waiting, and some for the way.
     * Covers an instance that starts into a crush, or whose first answers were slow for reasons of its own:
     * it would take crowded latencies for usual and send twice too much.
     */
    private double toldUnloadedMs() {
        boolean told = served.weight(nowMs) >= PRIOR_OUTCOMES;
        return told ? TOLD_TIMES * served.mean(nowMs) : Double.POSITIVE_INFINITY;
    }

    /** What one more request in flight adds to the latency, from each server's ups and downs. */
    private void learnCrowding(Request.Attempt attempt, double warmMs) {
        Server server = attempt.server;
        double flightOff = attempt.inFlight - server.flights.mean(nowMs);
        double latencyOff = warmMs - server.warmLatency.mean(nowMs);
        if (server.flights.weight(nowMs) >= 1) {
            covariance.add(nowMs, flightOff * latencyOff);
            variance.add(nowMs, flightOff * flightOff);
        }
        server.flights.add(nowMs, attempt.inFlight);
        server.warmLatency.add(nowMs, warmMs);
        flights.add(nowMs, attempt.inFlight);
        double mean = fleetLatency.mean(nowMs);
        double slope = (covariance.sum(nowMs) + CROWDING_PRIOR * mean / 2) / (variance.sum(nowMs) + CROWDING_PRIOR);
        double empty = mean - slope * flights.mean(nowMs);
        crowding = empty <= slope ? 1 : Math.max(0, slope / empty);
    }

    private void learn(Server server, Outcome outcome, double unitMs) {
        if (unitMs > 0) {
            double usualMs = Math.max(fleetUnitMs(), server.latency.mean(nowMs));
            double sampleMs = Math.min(unitMs, SAMPLE_CAP * usualMs);
            server.latency.add(nowMs, sampleMs);
            fleetUnit.add(nowMs, sampleMs);
            if (server.latency.weight(nowMs) >= PRIOR_OUTCOMES) {
                double growth = 1 + UNLOADED_GROWTH_PER_S * (nowMs - server.unloadedAtMs) / 1000;
                server.unloadedMs = Math.min(server.unloadedMs * growth, server.latency.mean(nowMs));
                server.unloadedAtMs = nowMs;
            }
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
            fleetErrors.add(nowMs, outcome == Outcome.ERROR ? 1 : 0);
            server.lately.add(nowMs, outcome == Outcome.ERROR ? 1 : 0);
        }
        switch (outcome) {
            case SUCCESS -> {
                server.outcomes.add(nowMs, 0);
                server.streak = 0;
            }
            case ERROR -> server.errors.add(nowMs, 1);
            case TIMED_OUT, BROKEN, UNREACHABLE -> {
                server.outcomes.add(nowMs, 1);
                server.streak++;
                rest(server);
            }
            case OVERLOADED -> {
                server.outcomes.add(nowMs, 0.5);
                server.streak++;
                rest(server);
            }
            case CANCELLED, NEVER_SENT -> {}
        }
    }

    /**
     * A server that fails without doing work has nothing in flight and would draw all traffic. It rests for a
     * service time, doubled with each failure on end. Covers full queues, refused connections, restarts and
     * servers that turn everything away; could hurt where failures have nothing to do with the server.
     */
    private void rest(Server server) {
        double times = 1 << Math.min(server.streak - 1, REST_DOUBLINGS);
        server.restUntilMs = Math.max(server.restUntilMs, nowMs + times * fleetUnitMs());
    }

    private void readLoad(Server server, double[] load) {
        if (load == null) {
            return;
        }
        List<LoadField> fields = settings.loadFields();
        for (int i = 0; i < Math.min(load.length, fields.size()); i++) {
            if (fields.get(i) == LoadField.IN_FLIGHT && load[i] >= 0) {
                server.reportedOthers = Math.max(0, load[i] - live(server));
                server.reportedAtMs = nowMs;
                if (capacity(server) < 1) {
                    server.kind.coldOthers.add(nowMs, server.reportedOthers);
                } else {
                    crowd.add(nowMs, server.reportedOthers);
                    server.kind.others.add(nowMs, server.reportedOthers);
                }
            } else if (fields.get(i) == LoadField.LATENCY_MS && load[i] > 0) {
                double warmMs = load[i] * capacity(server);
                served.add(nowMs, warmMs);
                server.told.add(nowMs, warmMs);
                server.kind.served.add(nowMs, warmMs);
            }
        }
    }

    /** The fleet's mean unit latency; before any outcome, a quarter of the first class's aim. */
    private double fleetUnitMs() {
        double guess = settings.classes().get(0).latencyObjectiveMs() / 4;
        return (fleetUnit.sum(nowMs) + guess * 1e-3) / (fleetUnit.weight(nowMs) + 1e-3);
    }

    // ---- Weights ----

    /**
     * How far a server's report of requests in flight still holds; for the rest the mean of its kind does.
     * Guards against taking a server for idle of which nothing was heard: of hundreds, most are such.
     */
    private double believed(Server server) {
        return Math.exp((server.reportedAtMs - nowMs) / (REPORT_TIMES * Math.max(1, server.unitMs)));
    }

    /** Mean of what a kind reported; the less that is, the more the fleet's. */
    private double ofKind(Decaying reported, double fleetMean) {
        return (reported.sum(nowMs) + fleetMean) / (reported.weight(nowMs) + 1);
    }

    /**
     * A server's service time in means of the fleet's, as reported by it and its kind: an instance with few
     * requests has hardly met most servers, and would take slow machines for mean ones.
     */
    private double pace(Server server) {
        double mean = served.mean(nowMs);
        if (mean <= 0) {
            return 1;
        }
        double kindMs = ofKind(server.kind.served, mean);
        return (server.told.sum(nowMs) + kindMs) / (server.told.weight(nowMs) + 1) / mean;
    }

    /** Refreshes each server's factors; returns whether half or more look bad. */
    private boolean weigh() {
        gather();
        double unit = fleetUnitMs();
        double errorShare = fleetErrors.mean(nowMs);
        int ready = 0;
        double nearest = Double.POSITIVE_INFINITY;
        if (scratch.length < pool.size()) {
            scratch = new double[pool.size() * 2];
        }
        for (Server server : pool) {
            double w = server.latency.weight(nowMs);
            double usual = unit * pace(server);
            server.unitMs = (server.latency.sum(nowMs) + PRIOR_OUTCOMES * usual) / (w + PRIOR_OUTCOMES);
            server.capacity = capacity(server);
            server.live = live(server);
            double believed = believed(server);
            double known = server.live + believed * server.reportedOthers;
            double usualOthers = ofKind(server.kind.others, crowd.mean(nowMs));
            // In a crush a successor counts by its like, else none finds it idle; unheard, by its capacity.
            usualOthers = server.capacity >= 1
                    ? usualOthers
                    : ofKind(
                            server.kind.coldOthers,
                            partial ? server.capacity * usualOthers : server.kind.coldOthers.mean(nowMs));
            server.inFlight = known + (1 - believed) * usualOthers;
            double n = server.outcomes.weight(nowMs) + server.errors.weight(nowMs);
            double excess = Math.max(0, server.errors.sum(nowMs) - n * errorShare);
            double fresh = server.streak * Math.exp(-Math.max(0, nowMs - server.restUntilMs) / HALF_LIFE_MS);
            double failures = server.outcomes.sum(nowMs) + excess + fresh;
            double lately = server.lately.sum(nowMs) - server.lately.weight(nowMs) * errorShare;
            double sound = 1
                    - Math.max(
                            failures / (n + PRIOR_OUTCOMES + fresh),
                            lately / (server.lately.weight(nowMs) + PRIOR_LATELY));
            // Room is judged by what is known: the mean of the others' would close all servers at once.
            double expected = server.unitMs * (1 + crowding * known) / server.capacity;
            server.expectedMs = Math.max(expected, silentMs(server));
            server.condition = Math.max(0, sound) * Math.min(1, unit / server.unitMs);
            double answering = expected / server.expectedMs;
            server.load = answering / Math.pow(1 + server.inFlight, 2);
            server.sound = Math.max(1e-6, sound);
            nearest = Math.min(nearest, server.unloadedMs);
            if (server.usable) {
                scratch[ready++] = server.condition;
            }
        }
        readyServers = Math.max(1, ready);
        double share = perMs(fleetLatency, firstEventMs) / readyServers;
        lots = 0;
        for (Server server : pool) {
            server.flightLimit = flightLimit(server, share, nearest);
            server.lotFrom = lots;
            server.lotShare = settings.rules().overloadMultiple()
                    * server.capacity
                    * (partial ? COLD_SAFETY_PARTIAL / pool.size() : COLD_SAFETY / servers.size());
            lots += server.capacity < 1 ? server.lotShare : 0;
        }
        if (ready == 0) {
            return false;
        }
        Arrays.sort(scratch, 0, ready);
        double upper = scratch[(ready - 1) * 3 / 4];
        int bad = 0;
        while (bad < ready && scratch[bad] < BAD_CUT * upper) {
            bad++;
        }
        return bad * 2 >= ready;
    }

    /** How long a server with own work in hand has not answered. */
    private double silentMs(Server server) {
        return server.out.isEmpty() ? 0 : nowMs - Math.max(server.lastHeardMs, server.busySinceMs);
    }

    /**
     * Own requests that a server has in hand: not those that are long overdue while it answered others sent
     * later. A connection that fell silent would hold a place until the deadline, and a few of them all.
     */
    private int live(Server server) {
        int live = server.out.size();
        for (Request.Attempt attempt : server.out) {
            live -= nowMs - attempt.sentMs > OVERDUE_TIMES * attempt.expectedMs
                            && server.lastAnsweredSentMs > attempt.sentMs
                    ? 1
                    : 0;
        }
        return live;
    }

    // ---- Draw ----

    /**
     * The servers this instance works with: all, or where connections are dear the first by its own affinity
     * until enough are sound and warm. Stable, different at each instance, refilled when members fail, grown
     * with its rate. Could hurt where an instance's rate jumps: it grows in seconds.
     */
    private void gather() {
        pool.clear();
        double wanted = Double.POSITIVE_INFINITY;
        double most = wanted;
        if (settings.limits().costlyConnections()) {
            double inFlight = perMs(arrivals, firstArrivalMs) * Math.min(unloadedMs, fleetUnitMs());
            // A crush is no reason to take part in all of it: there most that is asked is asked again.
            double members = LEAST_MEMBERS + Math.floor(MEMBERS_PER_FLIGHT * inFlight);
            mostMembers = mostMembers == 0 || calm() >= 1 ? Math.max(mostMembers, members) : mostMembers;
            wanted = mostMembers;
            most = 2 * mostMembers;
        }
        partial = false;
        for (Server server : ordered) {
            partial |= server.usable && (wanted < 1 || pool.size() >= most);
            if (wanted >= 1 && pool.size() < most && server.usable) {
                pool.add(server);
                boolean silent = silentMs(server) > SILENT_TIMES * fleetLatency.mean(nowMs);
                wanted -= server.streak == 0 && !silent && capacity(server) > 0.5 ? 1 : 0;
            }
        }
    }

    /**
     * Own requests in flight at all members together: what is asked keeps busy at the pace that servers tell,
     * with slack as for one server. Guards against instances that each stay within bounds at every server
     * and together crush all, also where many share few servers: these let in a dozen times too much. In a
     * crush servers tell of slow service, so the pace has a limit, and less is sent the longer answers take.
     */
    private double mostOut() {
        if (!partial && !many()) {
            return Double.POSITIVE_INFINITY;
        }
        double paceMs = Math.min(
                toldUnloadedMs(),
                Math.min(roomyMs(), served.weight(nowMs) > 0 ? Double.POSITIVE_INFINITY : fleetUnitMs()));
        double askedPerMs = Math.max(perMs(arrivals, firstArrivalMs), perMs(rush, firstArrivalMs));
        double busy = askedPerMs * (paceMs + lag.mean(nowMs));
        double least = LEAST_OUT * Math.max(1, (double) servers.size() / settings.instances());
        if (fleetLatency.weight(nowMs) == 0) {
            // Nothing is known of the pace: after a mass restart all that waited would go out at once.
            return least;
        }
        return Math.max(1, calm() * Math.max(least, busy + FLIGHT_SLACK * Math.sqrt(busy)));
    }

    /** 1 while answers take no longer than where there is room to send, less the longer they take. */
    private double calm() {
        double usualMs = fleetLatency.mean(nowMs);
        double tookMs = (tookLately.sum(nowMs) + usualMs) / (tookLately.weight(nowMs) + 1);
        double calm = many() ? Math.min(1, roomyMs() / Math.max(1, tookMs)) : 1;
        return Math.pow(calm, CALM_POWER);
    }

    /**
     * Mean latency among many with room to send: a service, a hold and a client's return still fit before
     * the aim. An instance that starts into a crush takes its latencies for usual, but the aim is told: more
     * than a third of it is no usual latency.
     */
    private double roomyMs() {
        double unitMs = fleetUnitMs();
        double aimMs = settings.classes().get(0).latencyObjectiveMs();
        return Math.min(ROOM * unitMs, Math.max(aimMs / RETURN_SERVICES, Math.min(aimMs / 3, 1.5 * unitMs)));
    }

    /** Whether so many instances share a server that own figures say little of it. */
    private boolean many() {
        return settings.instances() * Math.min(mostMembers, servers.size()) > MANY * servers.size();
    }

    /** Draws a server by weight among those that the rules permit and that have room; null if none has. */
    private Server draw(Request request, boolean trial) {
        boolean even = weigh();
        if (outNow >= mostOut()) {
            return null;
        }
        double limit = roomMs(request);
        double best = 0;
        boolean fresh = false;
        boolean leaning = false;
        double bestUnit = Double.POSITIVE_INFINITY;
        double bestSound = 0;
        for (Server server : pool) {
            bestSound = Math.max(bestSound, server.sound);
        }
        for (Server server : pool) {
            server.open = mayJoin(request, server, limit, trial);
            boolean untried = server.open && !request.tried(server);
            fresh |= untried;
            leaning |= untried && server.sound >= FAILING_CUT * bestSound && leans(request, server);
            bestUnit = Math.min(bestUnit, server.unitMs);
        }
        for (int i = 0; i < pool.size(); i++) {
            Server server = pool.get(i);
            double health = 0;
            if (server.open && !(fresh && request.tried(server)) && (!leaning || leans(request, server))) {
                double condition = even ? 1 : server.sound * bestUnit / server.unitMs;
                health = Math.max(condition, TRIAL_CONDITION) * server.load * server.capacity;
            }
            // One that fails fast is always idle: the in-flight factor must not lift it above the floor.
            boolean failing = health > 0 && !even && server.sound < FAILING_CUT * bestSound;
            scratch[i] = failing ? -1 : health;
            best = Math.max(best, failing ? 0 : health);
        }
        if (best <= 0) {
            return null;
        }
        double total = 0;
        for (int i = 0; i < pool.size(); i++) {
            scratch[i] =
                    scratch[i] < 0 ? CONDITION_FLOOR : scratch[i] == 0 ? 0 : Math.pow(scratch[i] / best, STEEPNESS);
            total += scratch[i];
        }
        double mark = random.nextDouble() * total;
        Server drawn = null;
        for (int i = 0; i < pool.size() && mark >= 0; i++) {
            if (scratch[i] > 0) {
                drawn = pool.get(i);
                mark -= scratch[i];
            }
        }
        return drawn;
    }

    /** Whether a server stands for a request whose station leans elsewhere; if none good does, all do. */
    private boolean leans(Request request, Server server) {
        return request.tenant < 0
                || request.tenant >= leanings.length
                || server.zone < 0
                || server.zone >= leanings[request.tenant].length
                || request.lot(server.zone) < leanings[request.tenant][server.zone];
    }

    private boolean mayJoin(Request request, Server server, double limitMs, boolean trial) {
        return maySend(request, server)
                && coldMayTake(request, server)
                && server.restUntilMs <= nowMs
                && server.live < server.flightLimit
                && (trial
                        ? server.inFlight < 0.5
                        : server.expectedMs <= Math.min(leftMs(request), slower(server) * limitMs));
    }

    /**
     * Own requests in flight that one server may have: what its rate of answers keeps busy when unloaded, and
     * what its way or kind takes beyond the nearest's and our own lateness, and square-root slack for chance.
     * It bites before latencies do, whatever makes the work pile up: demand over capacity, slowed servers,
     * clients that come back. Could hurt a sudden burst, by a hold.
     */
    private double flightLimit(Server server, double sharePerMs, double nearestMs) {
        double furtherMs = server.unloadedMs < Double.POSITIVE_INFINITY ? server.unloadedMs - nearestMs : 0;
        double besideMs = furtherMs + lag.mean(nowMs);
        double busy = unloadedMs < Double.POSITIVE_INFINITY ? sharePerMs * (unloadedMs + besideMs) : 0;
        double ownMs = Math.min(nearestMs, toldUnloadedMs());
        // Where most of what a server holds is ours, its own rate shows what it bears.
        if (ownMs < Double.POSITIVE_INFINITY && server.inFlight <= 2 * server.live) {
            busy = Math.max(busy, perMs(server.latency, firstEventMs) * (ownMs + besideMs));
        }
        return Math.max(LEAST_FLIGHT, busy + FLIGHT_SLACK * Math.sqrt(busy));
    }

    /** Events in a ms, counted since then; arrivals over a second at the least: a few are no flood. */
    private double perMs(Decaying counted, double sinceMs) {
        double seenMs = Math.max(counted == arrivals || counted == rush ? 1_000 : 1, nowMs - sinceMs);
        double share = 1 - Math.exp(-LN2 * seenMs / counted.halfLifeMs);
        return share > 0 ? counted.weight(nowMs) * LN2 / counted.halfLifeMs / share : 0;
    }

    /** The expected latency, for a mean request at a mean server, up to which a server is not crowded. */
    private double roomMs(Request request) {
        return Math.max(request.over ? 0 : ROOM * unloadedMs, 1.5 * fleetUnitMs());
    }

    /** How much slower than the fleet a server is: it is crowded by its own measure, not the fast ones'. */
    private double slower(Server server) {
        return Math.max(1, server.unitMs / fleetUnitMs());
    }

    /** Time left for a mean request, as far as an answer to this one is worth something. */
    private double leftMs(Request request) {
        return (Math.min(request.usefulUntilMs(), request.deadlineMs) - nowMs) / request.stats.lastFactor;
    }

    // ---- Attempts ----

    /** The one place that decides whether the rules permit a send. */
    private boolean maySend(Request request, Server server) {
        if (!server.usable
                || request.answered
                || request.attempts.size() >= settings.limits().maxAttempts()
                || nowMs >= request.deadlineMs
                || (request.outCount > 0 && !settings.limits().parallelAttempts())
                || (!request.attempts.isEmpty() && !furtherWithinBudget())) {
            return false;
        }
        Request.Attempt earlier = request.firstThatMayHaveRun();
        if (earlier == null || request.kind.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (request.kind.idempotency() == Idempotency.NON_IDEMPOTENT
                || nowMs + settings.tickMs() - earlier.sentMs >= request.kind.keyWindowMs()) {
            return false;
        }
        return switch (request.kind.keyScope()) {
            case ALL -> true;
            case ZONE -> server.zone == earlier.server.zone;
            case CELL -> server.cell == earlier.server.cell && server.zone == earlier.server.zone;
        };
    }

    /** Whether one more attempt beyond a first fits in the window that ends now; edges count against it. */
    private boolean furtherWithinBudget() {
        RetryBudgetConfig budget = settings.rules().retryBudget();
        double fromMs = nowMs - budget.windowMs();
        return further.since(fromMs, true) + 1
                <= budget.minRetries() + budget.retryRatio() * taken.since(fromMs, false);
    }

    /** The one place that decides whether the rules permit a refusal. */
    private boolean mayRefuse(Request request) {
        return request.kind.idempotency() == Idempotency.IDEMPOTENT
                || request.firstThatMayHaveRun() == null
                || (request.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && request.kind.keyScope() == KeyScope.ALL);
    }

    private void place(Request request) {
        if (request.answered || request.outCount > 0) {
            return;
        }
        Server server = draw(request, false);
        if (server != null) {
            send(request, server);
        } else if (!request.mayTryAgain(settings.limits().maxAttempts())
                || (!request.attempts.isEmpty() && !furtherWithinBudget())) {
            giveUp(request);
        } else {
            hold(request);
        }
    }

    private void send(Request request, Server server) {
        held.remove(request.id);
        if (server.out.isEmpty()) {
            server.busySinceMs = nowMs;
        }
        Request.Attempt attempt = new Request.Attempt(
                request.attempts.size(),
                server,
                nowMs,
                server.inFlight,
                server.capacity,
                server.expectedMs * request.stats.lastFactor);
        if (!request.attempts.isEmpty()) {
            further.add(nowMs);
        }
        request.attempts.add(attempt);
        request.outCount++;
        server.out.add(attempt);
        outNow++;
        // A server that drops work whose time is up should know when the request will be given up on.
        boolean toAim = cancelHelps && request.kind.idempotency() != Idempotency.NON_IDEMPOTENT;
        double untilMs = toAim ? Math.min(request.usefulUntilMs(), request.deadlineMs) : request.deadlineMs;
        actions.accept(new SendAttempt(request.id, server.id, untilMs - nowMs));
        double overdueMs = nowMs + patienceMs(request);
        double serviceMs = LAST_CALL * fleetUnitMs() * request.stats.lastFactor;
        boolean another =
                partial && toAim && request.attempts.size() < settings.limits().maxAttempts();
        if (another && overdueMs + serviceMs < request.aimMs) {
            setTimer(overdueMs, new Timer(TimerKind.OVERDUE, request));
        }
    }

    /**
     * How long a request waits for a server that says nothing before it goes to another: half of its time, so
     * that the other half is left, and long by what the fleet takes. In a crush nobody asks twice.
     */
    private double patienceMs(Request request) {
        return Math.max(
                (request.aimMs - nowMs) / 2, SILENT_TIMES * fleetLatency.mean(nowMs) * request.stats.lastFactor);
    }

    /** Whether an attempt has waited for several times what is usual while its server said nothing at all. */
    private boolean overdue(Request.Attempt attempt) {
        return attempt.server.lastHeardMs <= attempt.sentMs
                && nowMs - attempt.sentMs > SILENT_TIMES * Math.max(attempt.expectedMs, fleetLatency.mean(nowMs));
    }

    /** Gives up on a server that vanished while there is time for another: its end places the request. */
    private void onOverdue(Request request) {
        for (Request.Attempt attempt : request.attempts) {
            if (attempt.ended == null && !request.answered && !request.streaming && overdue(attempt)) {
                actions.accept(new CancelAttempt(request.id, attempt.number));
            }
        }
    }

    /** Waits for room. Covers overload, mass restarts and stalls; a hold ends at the last call. */
    private void hold(Request request) {
        if (held.put(request.id, request) != null) {
            return;
        }
        double lastCallMs = lastCallMs(request);
        if (lastCallMs <= nowMs) {
            onLastCall(request);
        } else {
            setTimer(lastCallMs, new Timer(TimerKind.LAST_CALL, request));
        }
    }

    private double lastCallMs(Request request) {
        double serviceMs = LAST_CALL * fleetUnitMs() * request.stats.lastFactor;
        double lastMs = Math.min(request.usefulUntilMs(), request.deadlineMs) - serviceMs;
        boolean brief = mayReturn(request, request.arrivedMs);
        return brief ? Math.min(lastMs, request.arrivedMs + serviceMs) : lastMs;
    }

    /**
     * Whether a client told to come back a service time after a hold can still be served in time. Then short
     * holds beat long ones: what comes back late cannot be told from new work and takes its place. Covers any
     * lasting crush; could hurt where clients do not mind the retry-after.
     */
    private boolean mayReturn(Request request, double sinceMs) {
        double serviceMs = LAST_CALL * fleetUnitMs() * request.stats.lastFactor;
        double leftMs = Math.min(request.usefulUntilMs(), request.deadlineMs) - sinceMs;
        return settings.limits().retryAfter() && leftMs > RETURN_SERVICES * serviceMs;
    }

    private void offerHeld() {
        while (!held.isEmpty()) {
            Request request = nextHeld();
            Server server = draw(request, false);
            if (server == null) {
                return;
            }
            send(request, server);
        }
    }

    /**
     * The newest within its tenant's share, else the newest: in a lasting crush the oldest is too late
     * anyway, and serving it first would make all too late. Could hurt only the order within a short hold.
     */
    private Request nextHeld() {
        Request newest = null;
        for (Request request : held.values()) {
            newest = newest == null || newest.over || !request.over ? request : newest;
        }
        return newest;
    }

    /** The last useful moment of a held request: an idle server is tried whatever its figures say. */
    private void onLastCall(Request request) {
        if (held.get(request.id) != request) {
            return;
        }
        // After a pause of the whole process the call may come when there is no time left.
        Server idle = leftMs(request) > 0 ? draw(request, true) : null;
        if (idle != null) {
            send(request, idle);
        } else {
            giveUp(request);
        }
    }

    // ---- Refusals ----

    /** The aim or the deadline is upon the request: an answer after it is worth nothing. */
    private void onEnd(Request request) {
        if (request.answered || request.streaming) {
            return;
        }
        if (nowMs < request.deadlineMs - 2 * settings.tickMs()
                && request.outCount > 0
                && (request.kind.idempotency() == Idempotency.NON_IDEMPOTENT || !cancelHelps)) {
            setTimer(request.deadlineMs - settings.tickMs(), new Timer(TimerKind.END, request));
            return;
        }
        giveUp(request);
    }

    /** Gives the final answer at once, and lets go of what is still out. */
    private void giveUp(Request request) {
        if (mayRefuse(request)) {
            double goneMs = request.clientGoneMs - nowMs;
            boolean soon = mayReturn(request, nowMs) && !request.broke();
            double waitMs = soon ? LAST_CALL * fleetUnitMs() : goneMs;
            double after =
                    settings.limits().retryAfter() ? Math.min(settings.limits().maxRetryAfterMs(), waitMs) : 0;
            actions.accept(new RejectRequest(request.id, Math.max(0, after)));
        } else {
            actions.accept(new FailRequest(request.id));
        }
        close(request);
    }

    private void close(Request request) {
        request.answered = true;
        held.remove(request.id);
        if (cancelHelps && !request.streaming) {
            for (Request.Attempt attempt : request.attempts) {
                if (attempt.ended == null) {
                    actions.accept(new CancelAttempt(request.id, attempt.number));
                }
            }
        }
        forgetIfOver(request);
    }

    private void forgetIfOver(Request request) {
        if (request.answered && request.outCount == 0) {
            requests.remove(request.id);
            for (long token : request.timers) {
                if (timers.remove(token) != null) {
                    actions.accept(new CancelTimer(token));
                }
            }
            request.timers.clear();
        }
    }

    private void setTimer(double atMs, Timer timer) {
        timers.put(++lastToken, timer);
        if (timer.request() != null) {
            timer.request().timers.add(lastToken);
        }
        actions.accept(new ScheduleTimer(atMs, lastToken));
    }

    // ---- Membership ----

    private void onServersListed(EndpointsUpdated listed) {
        if (listed.complete()) {
            servers.values().forEach(server -> server.inList = false);
        }
        for (Endpoint entry : listed.endpoints()) {
            Server server = servers.get(entry.server());
            if (server == null && entry.state() == EndpointState.REMOVED) {
                continue;
            }
            if (server == null) {
                server = new Server(entry.server(), entry.zone(), entry.cell());
                servers.put(entry.server(), server);
                server.kind = kinds.computeIfAbsent(entry.kind(), kind -> new Kind());
                server.affinity = Server.mix(affinity ^ entry.server().hashCode() * 0x9E3779B97F4A7C15L);
                server.startedMs = entry.startedMs() > 0 ? entry.startedMs() : Double.NEGATIVE_INFINITY;
            } else if (entry.startedMs() > 0 && entry.startedMs() != server.startedMs) {
                server.restart(entry.startedMs());
            }
            server.inList = entry.state() != EndpointState.REMOVED;
            // One that drains and then goes still drains: only a new start or its return ends that.
            server.draining = entry.state() == EndpointState.DRAINING
                    || (server.draining && entry.state() == EndpointState.REMOVED);
        }
        boolean goneBinds = settings.rules().removalForbidsSends();
        servers.values().forEach(server -> server.usable = !server.draining && (server.inList || !goneBinds));
        servers.values()
                .removeIf(server ->
                        !server.inList && server.out.isEmpty() && (!server.usable || server.streak > REST_DOUBLINGS));
        ordered = new ArrayList<>(servers.values());
        ordered.sort(Comparator.comparingLong(server -> server.affinity));
        if (listed.watchResponse()) {
            watchFailures = 0;
        } else if (settings.watchRequired() && !watchAsked) {
            watchAsked = true;
            setTimer(nowMs + random.nextDouble() * watchSpreadMs(), new Timer(TimerKind.WATCH, null));
        }
        offerHeld();
    }

    private void onDiscoveryFailed() {
        if (!settings.watchRequired()) {
            return;
        }
        double backoff = Math.min(WATCH_BACKOFF_MS, watchSpreadMs() * (1 << Math.min(watchFailures++, 10)));
        setTimer(nowMs + backoff * (0.5 + random.nextDouble() / 2), new Timer(TimerKind.WATCH, null));
    }

    private double watchSpreadMs() {
        double fleetMs = Math.min(WATCH_BACKOFF_MS, WATCH_SPREAD_EACH_MS * settings.instances());
        return Math.max(WATCH_SPREAD_MS, fleetMs);
    }

    // ---- Cold starts ----

    /** The share of its capacity that a server has at the least, by its age: the age factor. */
    private double capacity(Server server) {
        double warmth =
                (nowMs - server.startedMs) / Math.max(1, settings.rules().warmUpMs());
        double cold = settings.rules().warmUpInitialCapacity();
        return warmth >= 1 ? 1 : cold + (1 - cold) * Math.max(0, warmth);
    }

    /**
     * Whether a request may go to a server that may be cold. All requests, of whichever balancer, draw a lot,
     * and the share that may use a cold server is what its budget allows if each came to it: the sum holds at
     * any number of balancers and any rate, without memory. An instance that works with a part of the servers
     * shares the lots out among these: those of the others would be nobody's. They lie side by side: where
     * they overlap, a request holds two and another none. Own requests in flight there stay within its
     * capacity, which spreads one busy balancer's bursts.
     */
    private boolean coldMayTake(Request request, Server server) {
        if (server.capacity >= 1) {
            return true;
        }
        double lot = request.lot - server.lotFrom / lots;
        return lot - Math.floor(lot) < server.lotShare
                && server.live < Math.max(1, server.capacity * server.flightLimit);
    }

    // ---- What is remembered ----

    private enum TimerKind {
        WATCH,
        END,
        LAST_CALL,
        OVERDUE
    }

    /** What machines of one kind report: others' requests in flight, and service times as if warm. */
    static final class Kind {
        final Decaying others = new Decaying(HALF_LIFE_MS), served = new Decaying(HALF_LIFE_MS);
        final Decaying coldOthers = new Decaying(HALF_LIFE_MS);
    }

    private record Timer(TimerKind kind, Request request) {}

    /** How a class compares with the others in latency, and how long its clients wait for a first try. */
    static final class ClassStats {

        final Decaying latency = new Decaying(4 * HALF_LIFE_MS);
        final Decaying overall = new Decaying(4 * HALF_LIFE_MS);
        private double usualBudgetMs;
        private double usual;
        private double seen;
        double lastFactor = 1;

        static void overallAdd(ClassStats[] all, double nowMs, double tookMs) {
            for (ClassStats stats : all) {
                stats.overall.add(nowMs, tookMs);
                double mean = stats.overall.mean(nowMs);
                double prior = 2 * PRIOR_OUTCOMES * mean;
                stats.lastFactor =
                        (stats.latency.sum(nowMs) + prior) / (stats.latency.weight(nowMs) + 2 * PRIOR_OUTCOMES) / mean;
            }
        }

        /** Time the client has spent on earlier tries, where a budget cut short by its deadline shows it. */
        double spentBefore(RequestClass kind, double budgetMs) {
            usualBudgetMs = Math.max(usualBudgetMs, budgetMs);
            boolean asUsual = budgetMs > usualBudgetMs - 1;
            seen = seen * 0.98 + 1;
            usual = usual * 0.98 + (asUsual ? 1 : 0);
            return asUsual || usual < seen / 2 ? 0 : Math.max(0, kind.deadlineMs() - budgetMs);
        }
    }
}
