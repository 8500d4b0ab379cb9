package peppergauge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.membership.Reason.Kind;

/** What is believed of one source's words. A loss told once is not believed; a drain, a stop, a new server is. */
final class Voice {

    private final String name;
    private final Policy policy;
    /** By address: one place holds one server, so a new one there ends the one before. */
    private final Map<String, Held> held = new LinkedHashMap<>();

    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Departed departed = new Departed();
    private double nowMs;
    private long version = Long.MIN_VALUE;
    private boolean spoken;
    private double silentSinceMs = Double.NaN;
    private long olderVersion;
    private int olderLists;
    private double olderSinceMs;
    private boolean confirms;

    /** One server of this source. */
    private static final class Held {

        private Told told;
        private int missing;
        private double missingSinceMs;
        /** Its loss must be confirmed. */
        private boolean unconfirmed;

        private final double sinceMs;

        Held(Told told, double sinceMs) {
            this.told = told;
            this.sinceMs = sinceMs;
        }
    }

    Voice(String name, Policy policy) {
        this.name = name;
        this.policy = policy;
    }

    String name() {
        return name;
    }

    /** Whether it ever told a list that was believed. */
    boolean spoken() {
        return spoken;
    }

    /** Whether it has a server that is not leaving. */
    boolean hasAny() {
        return held.values().stream().anyMatch(each -> each.told.standing() != Standing.LEAVING);
    }

    /** Whether a loss waits to be told again. */
    boolean confirms() {
        return confirms;
    }

    /** For how long it has been silent, ms; negative if it is not. */
    double silentMs(double nowMs) {
        return Double.isNaN(silentSinceMs) ? -1 : nowMs - silentSinceMs;
    }

    Collection<Told> servers() {
        return held.values().stream().map(each -> each.told).toList();
    }

    /**
     * Whether this source told a server to leave or stop and does not list it any more, while another still lists it:
     * under the same id, or at the same address since before.
     */
    boolean sawLeave(Told told, Voice other) {
        return departed.has(told.id()) || departed.since(told.address(), other.held.get(told.address()).sinceMs);
    }

    /** Whether it told this server to leave or stop, and lists it no more. */
    boolean sawLeave(String id) {
        return departed.has(id);
    }

    Told at(String address) {
        Held there = held.get(address);
        return there == null ? null : there.told;
    }

    void lost(double nowMs, Reasons reasons) {
        if (Double.isNaN(silentSinceMs)) {
            silentSinceMs = nowMs;
            reasons.add(Kind.SOURCE, name, "", "silent; its " + held.size() + " servers are kept");
        }
    }

    void alive(double nowMs, Reasons reasons) {
        if (!Double.isNaN(silentSinceMs)) {
            reasons.add(Kind.SOURCE, name, "", "speaks again after " + (long) (nowMs - silentSinceMs) + " ms");
            silentSinceMs = Double.NaN;
        }
    }

    void changes(double now, News.Changes changes, Collection<Told> handedOut) {
        nowMs = now;
        inherit(handedOut);
        version = Math.max(version, changes.version());
        for (Told told : changes.servers()) {
            if (told.standing() == Standing.LEAVING && !holds(told)) {
                departed.left(told.id(), null, nowMs);
            } else {
                take(told);
            }
        }
        spoken |= !held.isEmpty();
        assert sound() : name + "'s servers by address and by id differ: " + addresses;
    }

    /** One server at a place, and one place for a server. */
    private boolean sound() {
        return held.size() == addresses.size()
                && held.entrySet().stream()
                        .allMatch(each ->
                                each.getKey().equals(each.getValue().told.address())
                                        && each.getKey()
                                                .equals(addresses.get(
                                                        each.getValue().told.id())));
    }

    /** Takes a server in as told; the newest word on a place ends what was there. */
    private void take(Told told) {
        String before = addresses.get(told.id());
        if (told.standing() == Standing.STOPPED) {
            departed.left(told.id(), before, nowMs);
            if (before != null && held.get(before).told.id().equals(told.id())) {
                drop(before);
            }
            return;
        }
        if (before != null && !before.equals(told.address())) {
            drop(before);
        }
        departed.listed(told.id(), told.address());
        Held there = held.get(told.address());
        if (there != null && !there.told.id().equals(told.id())) {
            drop(told.address());
            there = null;
        }
        if (there == null) {
            held.put(told.address(), new Held(told, nowMs));
            addresses.put(told.id(), told.address());
        } else {
            there.told = told;
            there.missing = 0;
            there.unconfirmed = false;
        }
    }

    private void drop(String address) {
        Told gone = held.remove(address).told;
        addresses.remove(gone.id());
        if (gone.standing() == Standing.LEAVING) {
            departed.left(gone.id(), address, nowMs);
        }
    }

    /**
     * Takes a whole list.
     *
     * @param handedOut the present table, for a source that speaks for the first time
     * @return whether it counts
     */
    boolean whole(double now, News.Whole list, Collection<Told> handedOut, Reasons reasons) {
        nowMs = now;
        if (!counts(list.version(), reasons)) {
            // Of an older list only what keeps a server from new work is believed.
            list.servers().stream()
                    .filter(told -> told.standing() == Standing.LEAVING)
                    .forEach(told -> {
                        if (holds(told)) {
                            take(told);
                        } else {
                            departed.left(told.id(), null, nowMs);
                        }
                    });
            confirms = true;
            return false;
        }
        inherit(handedOut);
        list.servers().forEach(this::take);
        spoken = true;
        miss(list, reasons);
        assert sound() : name + "'s servers by address and by id differ: " + addresses;
        return true;
    }

    /** The first word of a source may be wrong as any other: what it leaves out of the present table is a loss. */
    private void inherit(Collection<Told> handedOut) {
        if (!spoken) {
            handedOut.stream().filter(told -> told.standing() == Standing.READY).forEach(this::take);
        }
    }

    private boolean holds(Told told) {
        Told there = at(told.address());
        return there != null && there.id().equals(told.id());
    }

    /** Whether a list of this version counts; one of a lower count does once it was told often and long enough. */
    private boolean counts(long listed, Reasons reasons) {
        if (listed >= version) {
            version = listed;
            olderLists = 0;
            return true;
        }
        if (olderLists == 0 || listed < olderVersion) {
            olderLists = 0;
            olderSinceMs = nowMs;
        }
        olderVersion = listed;
        olderLists++;
        if (olderLists >= policy.confirmations() && nowMs - olderSinceMs >= policy.confirmMs()) {
            reasons.add(
                    Kind.OLDER,
                    name,
                    "",
                    "version " + listed + " counts in place of " + version + ": told " + olderLists + " times in "
                            + (long) (nowMs - olderSinceMs) + " ms");
            version = listed;
            olderLists = 0;
            return true;
        }
        reasons.add(
                Kind.OLDER,
                name,
                "",
                "a list of version " + listed + " after " + version + " was passed over; believed if told for "
                        + (long) policy.confirmMs() + " ms");
        return false;
    }

    private void miss(News.Whole list, Reasons reasons) {
        Set<String> listed = new HashSet<>();
        list.servers().forEach(told -> listed.add(told.address()));
        List<String> missing = new ArrayList<>();
        long ready = 0;
        int newly = 0;
        for (Map.Entry<String, Held> each : held.entrySet()) {
            boolean listedNow = listed.contains(each.getKey());
            // One that was told to leave was told to go: it needs no confirmation.
            boolean left = each.getValue().told.standing() == Standing.LEAVING;
            if (!listedNow) {
                missing.add(each.getKey());
                newly += left ? 0 : 1;
            }
            ready += left ? 0 : 1;
        }
        boolean tooMany = newly > 0 && (!list.firm() || newly == ready || newly > policy.lossShare() * ready);
        if (tooMany) {
            reasons.add(
                    Kind.UNCONFIRMED,
                    name,
                    "",
                    newly + " of " + ready + " servers are missing at once"
                            + (list.firm() ? "" : " from an answer that is not sure")
                            + "; they stay until this was told "
                            + policy.confirmations() + " times in " + (long) policy.confirmMs() + " ms");
        }
        confirms = false;
        Set<String> gone = new LinkedHashSet<>();
        for (String address : missing) {
            if (held.get(address).told.standing() == Standing.LEAVING
                    || confirmed(held.get(address), tooMany, list.firm())) {
                gone.add(address);
            } else {
                confirms = true;
            }
        }
        for (String address : gone) {
            Held one = held.get(address);
            if (one.unconfirmed) {
                reasons.add(
                        Kind.CONFIRMED,
                        name,
                        one.told.id(),
                        "missing from " + one.missing + " lists in " + (long) (nowMs - one.missingSinceMs) + " ms");
            }
            drop(address);
        }
    }

    private boolean confirmed(Held one, boolean tooMany, boolean firm) {
        if (one.missing == 0) {
            one.missingSinceMs = nowMs;
        }
        one.missing += firm ? 1 : 0;
        // The latest list decides: one that misses few is believed on all of them.
        one.unconfirmed = tooMany;
        return firm
                && (!one.unconfirmed
                        || one.missing >= policy.confirmations() && nowMs - one.missingSinceMs >= policy.confirmMs());
    }
}
