package peppergauge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.membership.Reason.Kind;
import peppergauge.request.EndpointUpdate;

/**
 * One server table out of what several sources tell. Decides who may be asked and nothing else: how much each gets is
 * the module's, which sees how its attempts end.
 *
 * <p>Believed at once: a drain, a stop, a new server. Believed when confirmed: an empty list, a list that loses more
 * than a share. Kept: everything while a source is silent. Never: a leaving server as ready, or an empty table while
 * a server that nobody told to leave answers. Not for use by several threads; times in ms from one origin.
 */
public final class Membership {

    private final Policy policy;
    private final Map<String, Voice> voices = new LinkedHashMap<>();
    private final Flapping flapping;
    private final Answers answers;
    /** The table as it was handed out, by address. */
    private final Map<String, Handed> table = new LinkedHashMap<>();

    private final Map<String, String> addresses = new HashMap<>();
    /** Kept against what was told, at this moment and at the one before. */
    private Set<String> kept = new TreeSet<>();

    private Set<String> keptBefore = new TreeSet<>();
    private final Set<String> heldUp = new TreeSet<>();
    private Voice leader;
    private long version;

    /** A server as handed out. */
    private static final class Handed {

        private Endpoint entry;
        private final String address;
        /** The source whose id it has: another source's name for the same place does not make it a new server. */
        private final String namedBy;
        /** When no source listed it any more; NaN while one does. */
        private double leftMs = Double.NaN;

        Handed(Endpoint entry, String address, String namedBy) {
            this.entry = entry;
            this.address = address;
            this.namedBy = namedBy;
        }
    }

    /** What sources say of one place together. */
    private record Wanted(Told told, String source, Standing standing) {}

    public Membership(Policy policy) {
        this.policy = policy;
        policy.sources().forEach(name -> voices.put(name, new Voice(name, policy)));
        flapping = new Flapping(policy);
        answers = new Answers(policy.answeredMs());
    }

    /**
     * Takes news in.
     *
     * @throws IllegalArgumentException if the policy does not name the source
     */
    public Decided on(double nowMs, News news) {
        Voice voice = voices.get(news.source());
        if (voice == null) {
            throw new IllegalArgumentException("no source is named " + news.source());
        }
        Reasons reasons = new Reasons();
        if (news instanceof News.Lost) {
            voice.lost(nowMs, reasons);
        } else {
            voice.alive(nowMs, reasons);
        }
        boolean counted = true;
        if (news instanceof News.Whole list) {
            counted = voice.whole(nowMs, list, handedOut(), reasons);
        } else if (news instanceof News.Changes changes) {
            voice.changes(nowMs, changes, handedOut());
        }
        return settle(nowMs, counted, reasons);
    }

    /** Time has passed: waits may be over. To be called some times a second. */
    public Decided at(double nowMs) {
        flapping.prune(nowMs);
        answers.prune(nowMs);
        return settle(nowMs, true, new Reasons());
    }

    /**
     * What was known before any source spoke, after a restart; stays as it is until one does. The last word on an id
     * or a place counts.
     */
    public void seed(List<EndpointUpdate.EndpointAddress> rows) {
        for (EndpointUpdate.EndpointAddress row : rows) {
            if (row.endpoint().state() != EndpointState.REMOVED) {
                Handed there = table.put(row.address(), new Handed(row.endpoint(), row.address(), ""));
                if (there != null) {
                    addresses.remove(there.entry.server());
                }
                String elsewhere = addresses.put(row.endpoint().server(), row.address());
                if (elsewhere != null) {
                    table.remove(elsewhere);
                }
            }
        }
    }

    /** The server at this address served an attempt. */
    public void answered(double nowMs, String address) {
        answers.answered(address, nowMs);
    }

    /** Whether a loss that this source told waits to be confirmed: it should be asked again soon. */
    public boolean confirms(String source) {
        return voices.get(source).confirms();
    }

    /** The whole table as handed out so far. */
    public EndpointUpdate whole() {
        return new EndpointUpdate(
                version,
                true,
                table.values().stream()
                        .map(each -> new EndpointUpdate.EndpointAddress(each.entry, each.address))
                        .toList());
    }

    private Collection<Told> handedOut() {
        return table.values().stream()
                .filter(each -> Double.isNaN(each.leftMs))
                .map(each -> new Told(each.entry, each.address, Standing.of(each.entry.state()), ""))
                .toList();
    }

    // ---- What sources mean together ----

    private List<Voice> speaking(double nowMs, Reasons reasons) {
        List<Voice> spoken = voices.values().stream().filter(Voice::spoken).toList();
        if (policy.several() == Policy.Several.UNION || spoken.isEmpty()) {
            return spoken;
        }
        List<Voice> heard = spoken.stream()
                .filter(voice -> voice.silentMs(nowMs) < policy.failoverMs())
                .toList();
        // One that has nobody to ask says little against one that has.
        Voice first = heard.stream()
                .filter(Voice::hasAny)
                .findFirst()
                .orElse(leader != null ? leader : heard.isEmpty() ? spoken.get(0) : heard.get(0));
        if (first != leader) {
            reasons.add(
                    Kind.SOURCE,
                    first.name(),
                    "",
                    "is believed from now on" + (leader == null ? "" : " in place of " + leader.name()));
            leader = first;
        }
        return List.of(first);
    }

    private Map<String, Wanted> wanted(double nowMs, Reasons reasons) {
        Map<String, Wanted> wanted = new LinkedHashMap<>();
        Map<String, String> places = new HashMap<>();
        boolean others = answers.anyLately(nowMs);
        List<Voice> speaking = speaking(nowMs, reasons);
        for (Voice voice : speaking) {
            boolean expired = voice.silentMs(nowMs) > policy.keepMs();
            for (Told told : voice.servers()) {
                if (expired && others && !answers.lately(told.address(), nowMs)) {
                    continue;
                }
                String place = places.putIfAbsent(told.id(), told.address());
                if (place != null && !place.equals(told.address())) {
                    // Two sources disagree on where it is: the one that goes before is believed.
                    continue;
                }
                boolean left = speaking.stream().anyMatch(other -> other != voice && other.sawLeave(told, voice));
                Standing standing = left ? Standing.LEAVING : told.standing();
                wanted.merge(
                        told.address(),
                        new Wanted(told, voice.name(), standing),
                        (a, b) -> new Wanted(a.told(), a.source(), worse(a.standing(), b.standing())));
            }
        }
        return wanted;
    }

    private static Standing worse(Standing a, Standing b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    // ---- The table ----

    private Decided settle(double nowMs, boolean counted, Reasons reasons) {
        if (voices.values().stream().noneMatch(Voice::spoken)) {
            return new Decided(Optional.empty(), counted, reasons.take());
        }
        keptBefore = kept;
        kept = new TreeSet<>();
        Map<String, Wanted> wanted = wanted(nowMs, reasons);
        Map<String, EndpointUpdate.EndpointAddress> changed = new LinkedHashMap<>();
        Map<String, Boolean> ready = new LinkedHashMap<>();
        wanted.forEach((address, each) -> ready.put(address, ready(nowMs, each, reasons)));
        if (!ready.containsValue(true)) {
            // Nothing sound is left: what nobody told to leave is better than nothing.
            wanted.forEach((address, each) -> {
                if (each.standing() != Standing.LEAVING) {
                    ready.put(address, true);
                    kept(each, "it is held up or doubted, but nothing else is left", reasons);
                }
            });
        }
        wanted.forEach((address, each) -> hand(nowMs, each, ready.get(address), changed, reasons));
        boolean any = ready.containsValue(true);
        for (Handed each : List.copyOf(table.values())) {
            if (!wanted.containsKey(each.address) && (any || !serves(nowMs, each, changed, reasons))) {
                leave(nowMs, each, changed, reasons);
            }
        }
        heldUp.retainAll(wanted.keySet());
        assert sound() : "the table by address and by id differ: " + addresses;
        assert wanted.values().stream().noneMatch(each -> each.standing() == Standing.LEAVING && asked(each))
                : "one that leaves is handed out as ready: " + whole();
        List<EndpointUpdate.EndpointAddress> rows = new ArrayList<>(changed.values());
        return new Decided(
                rows.isEmpty() ? Optional.empty() : Optional.of(new EndpointUpdate(++version, false, rows)),
                counted,
                reasons.take());
    }

    /** No id is at two places, no place has two, and none that is gone stays. */
    private boolean sound() {
        return table.size() == addresses.size()
                && table.entrySet().stream()
                        .allMatch(each -> each.getKey().equals(each.getValue().address)
                                && each.getKey()
                                        .equals(addresses.get(
                                                each.getValue().entry.server()))
                                && each.getValue().entry.state() != EndpointState.REMOVED);
    }

    private boolean asked(Wanted each) {
        Handed handed = table.get(each.told().address());
        return handed != null && handed.entry.state() == EndpointState.READY;
    }

    private boolean ready(double nowMs, Wanted each, Reasons reasons) {
        String address = each.told().address();
        if (each.standing() == Standing.LEAVING) {
            return false;
        }
        if (each.standing() == Standing.DOUBTED) {
            if (answers.lately(address, nowMs)) {
                kept(each, each.told().sign() + ", but it answers", reasons);
                return true;
            }
            return false;
        }
        Handed handed = table.get(address);
        if (handed != null && handed.entry.state() == EndpointState.READY) {
            return true;
        }
        double untilMs = flapping.heldUntilMs(address, nowMs);
        if (nowMs >= untilMs) {
            heldUp.remove(address);
            return true;
        }
        if (heldUp.add(address)) {
            reasons.add(
                    Kind.HELD_UP,
                    each.source(),
                    each.told().id(),
                    "back once more, not asked for " + (long) (untilMs - nowMs) + " ms");
        }
        return false;
    }

    private void kept(Wanted each, String why, Reasons reasons) {
        if (kept.add(each.told().address()) && !keptBefore.contains(each.told().address())) {
            reasons.add(Kind.KEPT, each.source(), each.told().id(), why);
        }
    }

    private void hand(
            double nowMs,
            Wanted each,
            boolean ready,
            Map<String, EndpointUpdate.EndpointAddress> changed,
            Reasons reasons) {
        Told told = each.told();
        Handed before = table.get(told.address());
        boolean renamed = before != null && !before.entry.server().equals(told.id());
        if (renamed && !each.source().equals(before.namedBy) && Double.isNaN(before.leftMs)) {
            renamed = false;
            told = withId(told, before.entry.server());
        }
        if (renamed) {
            gone(before, changed, reasons, "another server is at its address");
            before = null;
        }
        EndpointState state = ready ? EndpointState.READY : EndpointState.DRAINING;
        Endpoint entry = as(told.entry(), state);
        if (before == null) {
            String elsewhere = addresses.put(told.id(), told.address());
            if (elsewhere != null) {
                // It moved: the same id must not be in the table twice.
                table.remove(elsewhere);
            }
            table.put(told.address(), new Handed(entry, told.address(), each.source()));
            reasons.add(
                    Kind.NEW,
                    each.source(),
                    told.id(),
                    "at " + told.address() + (ready ? "" : ", not to be asked: " + sign(each)));
        } else {
            before.leftMs = Double.NaN;
            if (entry.equals(before.entry)) {
                return;
            }
            if (before.entry.state() == EndpointState.READY && !ready) {
                flapping.left(told.address(), nowMs);
                reasons.add(Kind.LEAVING, each.source(), told.id(), sign(each));
            }
            before.entry = entry;
        }
        changed.put(told.id(), new EndpointUpdate.EndpointAddress(entry, told.address()));
    }

    private static String sign(Wanted each) {
        return each.told().sign().isEmpty()
                ? each.standing().name().toLowerCase(java.util.Locale.ROOT)
                : each.told().sign();
    }

    private static Told withId(Told told, String id) {
        return new Told(as(told.entry(), id, told.entry().state()), told.address(), told.standing(), told.sign());
    }

    /** Missing from all lists, but nobody told it to go, and it answers: better than an empty table. */
    private boolean serves(
            double nowMs, Handed each, Map<String, EndpointUpdate.EndpointAddress> changed, Reasons reasons) {
        String id = each.entry.server();
        boolean serves =
                answers.lately(each.address, nowMs) && voices.values().stream().noneMatch(voice -> voice.sawLeave(id));
        if (serves && kept.add(each.address) && !keptBefore.contains(each.address)) {
            reasons.add(Kind.KEPT, "", id, "missing, but it answers and nothing else is left");
        }
        if (serves && each.entry.state() != EndpointState.READY) {
            // It was let go while another was left.
            each.leftMs = Double.NaN;
            each.entry = as(each.entry, EndpointState.READY);
            changed.put(id, new EndpointUpdate.EndpointAddress(each.entry, each.address));
        }
        return serves;
    }

    private static Endpoint as(Endpoint entry, EndpointState state) {
        return as(entry, entry.server(), state);
    }

    private static Endpoint as(Endpoint entry, String id, EndpointState state) {
        return new Endpoint(id, entry.zone(), entry.cell(), state, entry.startedMs(), entry.kind());
    }

    /** No source lists it: it is leaving first, since gone alone need not keep new work away, and gone then. */
    private void leave(
            double nowMs, Handed each, Map<String, EndpointUpdate.EndpointAddress> changed, Reasons reasons) {
        if (Double.isNaN(each.leftMs)) {
            each.leftMs = nowMs;
            if (each.entry.state() == EndpointState.READY) {
                String id = each.entry.server();
                each.entry = as(each.entry, EndpointState.DRAINING);
                changed.put(id, new EndpointUpdate.EndpointAddress(each.entry, each.address));
                flapping.left(each.address, nowMs);
                reasons.add(Kind.LEAVING, "", id, "no source lists it");
            }
        }
        if (nowMs - each.leftMs >= policy.lingerMs()) {
            gone(each, changed, reasons, "it left " + (long) (nowMs - each.leftMs) + " ms ago");
        }
    }

    private void gone(Handed each, Map<String, EndpointUpdate.EndpointAddress> changed, Reasons reasons, String why) {
        Endpoint entry = each.entry;
        table.remove(each.address);
        addresses.remove(entry.server());
        changed.put(entry.server(), new EndpointUpdate.EndpointAddress(as(entry, EndpointState.REMOVED), each.address));
        reasons.add(Kind.GONE, "", entry.server(), why);
    }
}
