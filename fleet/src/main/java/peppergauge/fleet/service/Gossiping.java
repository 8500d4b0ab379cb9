package peppergauge.fleet.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import peppergauge.fleet.http.Caller;
import peppergauge.fleet.member.Member;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.state.Intake;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.Gossip;
import peppergauge.fleet.wire.Json;
import peppergauge.log.Log;

/** The duty that asks the other instances what changed, and knows which of them are there. */
final class Gossiping {

    private static final int ANSWER_BYTES = 32 << 20;
    /** Failures in a row after which a peer's own news are had from others. */
    private static final int LOST = 3;

    private static final String PATH = "/fleet/v1/gossip";

    private final ServiceSettings settings;
    private final LongSupplier clock;
    private final Merging merging;
    private final Publisher publisher;
    private final Intake intake;
    /** Also locked by the thread that answers others. */
    private final Membership membership;

    private final long started;
    private final Caller caller;
    private final Map<String, Point> points = new HashMap<>();
    /** Calls in a row that failed, by peer. */
    private final Map<String, Integer> silent = new HashMap<>();

    private long askedMs;
    private volatile long failures;

    /** Up to where a peer's changes are held. */
    private record Point(long started, long through, boolean more) {}

    Gossiping(
            ServiceSettings settings,
            LongSupplier clock,
            Merging merging,
            Publisher publisher,
            Intake intake,
            Membership membership,
            long started) {
        this.settings = settings;
        this.clock = clock;
        this.merging = merging;
        this.publisher = publisher;
        this.intake = intake;
        this.membership = membership;
        this.started = started;
        caller = new Caller(settings.times().gossipMs(), ANSWER_BYTES);
    }

    boolean step() {
        long now = clock.getAsLong();
        boolean due = Math.abs(now - askedMs) >= settings.times().gossipMs();
        if (due) {
            askedMs = now;
            synchronized (membership) {
                membership.tick(now);
            }
        }
        boolean asked = false;
        for (ServiceSettings.Peer peer : settings.peers()) {
            Point point = points.getOrDefault(peer.name(), new Point(0, 0, false));
            if (due || point.more()) {
                ask(peer, point);
                asked = true;
            }
        }
        return asked;
    }

    private void ask(ServiceSettings.Peer peer, Point point) {
        try {
            Caller.Answer answer = caller.call(peer.address(), PATH, Json.write(words(peer, point)));
            if (answer.status() != 200) {
                throw new IOException("it answers " + answer.status());
            }
            take(peer, point, Json.read(answer.body(), Gossip.Answer.class));
            silent.remove(peer.name());
        } catch (IOException | IllegalArgumentException failed) {
            failures++;
            if (silent.merge(peer.name(), 1, Integer::sum) == LOST) {
                // What it told others and not this one they tell from now on, from the first.
                points.clear();
            }
            points.computeIfPresent(peer.name(), (name, held) -> new Point(held.started(), held.through(), false));
        }
    }

    private Gossip words(ServiceSettings.Peer to, Point point) {
        boolean all = silent.entrySet().stream()
                .anyMatch(each -> !each.getKey().equals(to.name()) && each.getValue() >= LOST);
        synchronized (membership) {
            return new Gossip(
                    settings.site(),
                    settings.name(),
                    settings.number(),
                    membership.incarnation(),
                    membership.view(),
                    point.started(),
                    point.through(),
                    all);
        }
    }

    private void take(ServiceSettings.Peer peer, Point point, Gossip.Answer answer) {
        if (!peer.name().equals(answer.from()) || answer.reports() == null || answer.members() == null) {
            throw new IllegalArgumentException("another answers at " + peer.address());
        }
        long now = clock.getAsLong();
        List<DaemonReport> sound = new ArrayList<>(answer.reports());
        sound.removeIf(report -> !intake.mayJoin(report, now));
        // Where there is no room they are asked for again.
        boolean taken = sound.isEmpty() || merging.offer(new Merging.Reported(sound, false));
        points.put(
                peer.name(),
                taken
                        ? new Point(answer.started(), answer.through(), answer.more())
                        : new Point(point.started(), point.through(), false));
        publisher.told(new Publisher.Seen(answer.version(), answer.table()));
        synchronized (membership) {
            membership.heard(answer.from(), answer.incarnation(), now);
            membership.merge(sound(answer.members()), now);
        }
    }

    /** Answers another: from the thread that takes requests, its view of changes from the merge's. */
    Gossip.Answer answer(Gossip asked, peppergauge.fleet.state.FleetState.Changes changes) {
        synchronized (membership) {
            return new Gossip.Answer(
                    settings.name(),
                    membership.incarnation(),
                    membership.view(),
                    started,
                    changes.through(),
                    changes.more(),
                    changes.reports(),
                    publisher.highest(),
                    publisher.newerThan(0));
        }
    }

    /** Who asks is there, and says what it believes. */
    void heard(Gossip asked) {
        long now = clock.getAsLong();
        synchronized (membership) {
            membership.heard(asked.from(), asked.incarnation(), now);
            membership.merge(sound(asked.members()), now);
        }
    }

    /** Null, or what is wrong with who asks. */
    String objection(Gossip asked) {
        boolean known = settings.peers().stream().anyMatch(peer -> peer.name().equals(asked.from()));
        if (!settings.site().equals(asked.site())) {
            return "other-site";
        }
        if (!known || asked.members() == null || asked.incarnation() <= 0) {
            return "unknown-instance";
        }
        if (asked.number() == settings.number()) {
            Log.line("fleet", asked.from() + " has the number of this instance: its tables cannot be told apart");
            return "same-number";
        }
        return null;
    }

    long since(Gossip asked) {
        return asked.sinceStart() == started ? Math.max(0, asked.since()) : 0;
    }

    private static List<Member> sound(List<Member> told) {
        return told.stream()
                .filter(member -> member != null
                        && member.name() != null
                        && member.standing() != null
                        && member.incarnation() >= 0)
                .toList();
    }

    Map<String, String> standings() {
        synchronized (membership) {
            return membership.view().stream()
                    .collect(Collectors.toMap(
                            Member::name, member -> member.standing().name().toLowerCase(java.util.Locale.ROOT)));
        }
    }

    boolean onDuty() {
        synchronized (membership) {
            return membership.onDuty();
        }
    }

    /** Tells the others that this one ends, so that none has to suspect it. */
    void leave() {
        synchronized (membership) {
            membership.leave(clock.getAsLong());
        }
        settings.peers().forEach(peer -> ask(peer, new Point(0, Long.MAX_VALUE, false)));
        caller.close();
    }

    long failures() {
        return failures;
    }
}
