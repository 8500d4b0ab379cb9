package peppergauge.promises.steer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import peppergauge.promises.Cell;
import peppergauge.promises.Contract;
import peppergauge.promises.Evidence;
import peppergauge.promises.MoveCost;
import peppergauge.promises.Steering;
import peppergauge.promises.evidence.Ledger;
import peppergauge.promises.evidence.Tally;
import peppergauge.promises.plan.Holds;
import peppergauge.promises.plan.Plan;
import peppergauge.promises.plan.Solver;
import peppergauge.promises.plan.Wish;

/**
 * Decides, once a period, how stations lean to data centres.
 *
 * <p>Each period: evidence goes into windows; data centres turn bad or good for stations ({@link Flag}); the solver
 * deals out shares; these move by a step at most; and they become factors. A factor is the share of a station's
 * sessions for which a data centre's servers stand in the draw at all: see {@link #factors}.
 */
public final class Steerer {

    /** Periods without a decision after which what was counted meanwhile belongs to no slot. */
    private static final int GAP = 4;
    /** Sessions under which a tenth of a window says nothing: one miss of one would be surely over any budget. */
    private static final int ENOUGH = 10;
    /** Weight of the newest in natural shares and pulls. */
    private static final double NEWEST = 0.2;
    /** Pull of a data centre that was never shunned; learned with the first that is. */
    private static final double FIRST_PULL = 0.8;
    /** Most that a factor changes in a period, in times, where it changes shares. */
    private static final double PACE = 1.5;
    /** A factor that would change by less than this part is told as before: readers are not set in motion by noise. */
    private static final double STILL = 0.05;

    private final Tuning tuning;
    private final Ledger ledger = new Ledger();
    private final Holds holds = new Holds();
    private final Map<String, Map<String, Flag>> flags = new TreeMap<>();
    private final Map<String, Double> natural = new TreeMap<>();
    private final Map<String, Long> heardFrom = new HashMap<>();
    private final Map<String, Double> pull = new TreeMap<>();
    private Map<String, Map<String, Double>> shares = new TreeMap<>();
    private Map<String, Map<String, Double>> factors = new TreeMap<>();
    private final Map<String, Double> perS = new HashMap<>();
    private Map<String, List<Contract>> contracts = Map.of();
    private long lastMs = Long.MIN_VALUE;

    public Steerer(Tuning tuning) {
        this.tuning = tuning;
    }

    /** What holds from now on; stations that have none any more are let go. */
    public void contracts(List<Contract> promised) {
        Map<String, List<Contract>> byStation = new TreeMap<>();
        promised.forEach(each -> byStation
                .computeIfAbsent(each.station(), station -> new ArrayList<>())
                .add(each));
        contracts = byStation;
        ledger.contracts(promised);
        flags.keySet().retainAll(byStation.keySet());
    }

    /**
     * One period's decision.
     *
     * @param nowMs Unix time, ms; if the clock went back nothing is counted
     * @param counters cumulative, fleet-wide
     */
    public Steering decide(long nowMs, List<Evidence> counters, MoveCost cost) {
        boolean gap = lastMs == Long.MIN_VALUE || nowMs <= lastMs || nowMs - lastMs > GAP * tuning.periodMs();
        double ms = gap ? tuning.periodMs() : nowMs - lastMs;
        ledger.take(nowMs, counters, gap);
        lastMs = nowMs;
        if (gap) {
            // Nothing is known of what happened meanwhile: the former table goes on for a period.
            return told();
        }
        observe(ms);
        judge(nowMs);
        Set<String> zones = ledger.zones();
        if (zones.isEmpty()) {
            // No session has reached any data centre yet, as at a crowded start: shares of nothing would not add up.
            return told();
        }
        Plan plan = Solver.solve(wishes(zones, nowMs), zone -> lost(zone, nowMs) ? 0 : holds.holds(zone), cost);
        Map<String, Map<String, Double>> before = shares;
        shares = stepped(plan.shares());
        assert stepsWithin(before) : before + " to " + shares;
        factors = factors(zones);
        assert contracts.keySet().containsAll(factors.keySet()) : "steered without a promise: " + factors.keySet();
        return told();
    }

    /**
     * Whether nothing at all came from there of late: whatever it held once, it holds nothing now. Where that is so of
     * all, the evidence is stale: steering fades.
     */
    private boolean lost(String zone, long nowMs) {
        return nowMs - heardFrom.getOrDefault(zone, Long.MIN_VALUE / 2) > tuning.staleMs();
    }

    private Steering told() {
        Map<String, Map<String, Double>> steering = new TreeMap<>();
        factors.forEach((station, zones) -> {
            if (zones.values().stream().anyMatch(factor -> factor < 1)) {
                steering.put(station, new TreeMap<>(zones));
            }
        });
        return new Steering(steering);
    }

    // ---- What is seen ----

    private void observe(double ms) {
        Set<String> zones = ledger.zones();
        for (String zone : zones) {
            Tally tally = ledger.fresh(cell -> cell.zone().equals(zone));
            if (tally.all() > 0) {
                holds.saw(zone, tally, ledger.promised(zone), ms);
                heardFrom.put(zone, lastMs);
            }
        }
        for (String station : ledger.stations()) {
            double now = ledger.fresh(cell -> cell.station().equals(station)).all() * 1e3 / ms;
            perS.merge(station, now, (mean, fresh) -> mean + NEWEST * (fresh - mean));
        }
        learnNatural(zones);
        learnPulls(zones);
    }

    /** Shares of the data centres among sessions of stations that are not steered. */
    private void learnNatural(Set<String> zones) {
        Set<String> free = ledger.stations();
        free.removeIf(station ->
                factors.getOrDefault(station, Map.of()).values().stream().anyMatch(f -> f < 1));
        double all = ledger.fresh(
                        cell -> free.contains(cell.station()) && !cell.zone().equals(Cell.NOWHERE))
                .all();
        for (String zone : zones) {
            double here = ledger.fresh(
                            cell -> free.contains(cell.station()) && cell.zone().equals(zone))
                    .all();
            if (all >= ENOUGH) {
                natural.merge(zone, here / all, (mean, fresh) -> mean + NEWEST * (fresh - mean));
            }
            natural.putIfAbsent(zone, 1.0 / zones.size());
            // Nothing came from there for anybody: it is lost, even if no station is left unsteered to show it.
            boolean lost = ledger.fresh(cell -> true).all() >= ENOUGH
                    && ledger.fresh(cell -> cell.zone().equals(zone)).all() == 0;
            natural.computeIfPresent(zone, (each, share) -> lost ? share * (1 - NEWEST) : share);
        }
        double sum = natural.values().stream().mapToDouble(share -> share).sum();
        natural.replaceAll((zone, share) -> share / Math.max(sum, 1e-9));
        assert natural.keySet().containsAll(zones)
                        && natural.values().stream().allMatch(share -> share >= 0 && share <= 1 + 1e-9)
                : "natural shares are " + natural;
    }

    /**
     * What part of the sessions for which a shunned data centre stands in the draw goes there. It is idle then, so most
     * do: if the factor were the share itself over the natural one, far too many would.
     */
    private void learnPulls(Set<String> zones) {
        for (String zone : zones) {
            double stood = 0;
            double went = 0;
            for (Map.Entry<String, Map<String, Double>> each : factors.entrySet()) {
                double factor = each.getValue().getOrDefault(zone, 1.0);
                if (factor < 0.9) {
                    String station = each.getKey();
                    stood += factor
                            * ledger.fresh(cell -> cell.station().equals(station)
                                            && !cell.zone().equals(Cell.NOWHERE))
                                    .all();
                    went += ledger.fresh(cell -> cell.station().equals(station)
                                    && cell.zone().equals(zone))
                            .all();
                }
            }
            if (stood >= 1) {
                double seen = Math.max(natural.get(zone), Math.min(1, went / stood));
                pull.merge(zone, seen, (mean, fresh) -> mean + NEWEST * (fresh - mean));
                assert pull.get(zone) >= 0 && pull.get(zone) <= 1 + 1e-9 : zone + " pulls " + pull.get(zone);
            }
        }
    }

    private double pull(String zone) {
        return Math.max(0.01, pull.getOrDefault(zone, FIRST_PULL));
    }

    // ---- Who is bad for whom ----

    private void judge(long nowMs) {
        for (Map.Entry<String, List<Contract>> station : contracts.entrySet()) {
            Map<String, Flag> known = flags.computeIfAbsent(station.getKey(), each -> new TreeMap<>());
            for (String zone : ledger.zones()) {
                known.compute(
                        zone, (each, flag) -> turned(flag == null ? Flag.GOOD : flag, station.getValue(), zone, nowMs));
            }
        }
    }

    private Flag turned(Flag flag, List<Contract> promised, String zone, long nowMs) {
        boolean bad = false;
        boolean good = true;
        boolean slowly = true;
        long windowMs = promised.get(0).windowsMs().get(0);
        long seen = 0;
        long seenSlowly = 0;
        for (Contract contract : promised) {
            Tally quick = ledger.quick(contract, zone, nowMs);
            Tally whole = ledger.whole(contract, zone, nowMs);
            boolean over = quick.all() >= ENOUGH && quick.surelyOver(contract.allowed());
            bad |= over && ledger.burns(contract, nowMs);
            good &= !over && quick.missShare() <= contract.allowed();
            // Of few sessions in a whole window one that is missed says that it may still be bad.
            slowly &= whole.all() < ENOUGH ? whole.missed() == 0 : whole.missShare() <= contract.allowed();
            seen += quick.all();
            seenSlowly += whole.all();
        }
        if (!flag.bad()) {
            return bad ? flag.turnBad(nowMs, windowMs) : flag;
        }
        // A clock that went back an hour must not keep it bad for that hour.
        boolean held = nowMs < flag.untilMs() && nowMs >= flag.changedMs();
        // A shunned data centre has a twentieth of a station's sessions: a tenth of a window without any says nothing.
        boolean passed = nowMs - flag.changedMs() > windowMs;
        boolean silent = passed && seenSlowly == 0;
        boolean proved = !held && good && (seen >= ENOUGH || passed && slowly);
        return silent || proved ? flag.turnGood(nowMs) : flag;
    }

    // ---- The plan ----

    private List<Wish> wishes(Set<String> zones, long nowMs) {
        List<Wish> wishes = new ArrayList<>();
        boolean stale = zones.stream().allMatch(zone -> lost(zone, nowMs));
        for (String station : ledger.stations()) {
            List<Contract> promised = contracts.getOrDefault(station, List.of());
            Set<String> allowed = stale ? zones : allowed(promised, zones);
            Set<String> bad = bad(station, allowed);
            double atRisk = 0;
            for (Contract contract : promised) {
                atRisk += bad.isEmpty()
                        ? 0
                        : contract.penalty()
                                * Math.min(1, ledger.burnRates(contract, nowMs).get(0));
            }
            wishes.add(new Wish(station, perS.getOrDefault(station, 0.0), within(allowed), bad, allowed, atRisk));
        }
        return wishes;
    }

    /** What all of a station's contracts allow; all, if nothing of that was ever seen. */
    private static Set<String> allowed(List<Contract> promised, Set<String> zones) {
        Set<String> allowed = new TreeSet<>(zones);
        allowed.removeIf(zone -> promised.stream().anyMatch(contract -> !contract.allows(zone)));
        return allowed.isEmpty() ? zones : allowed;
    }

    /** If all that is allowed is bad, the solver finds no room: what nobody keeps moves nothing, and takes none. */
    private Set<String> bad(String station, Set<String> allowed) {
        Set<String> bad = new LinkedHashSet<>();
        flags.getOrDefault(station, Map.of()).forEach((zone, flag) -> {
            if (flag.bad() && allowed.contains(zone)) {
                bad.add(zone);
            }
        });
        return bad;
    }

    /** Natural shares of a station that may use no others: whether there is room or not, the contract binds. */
    private Map<String, Double> within(Set<String> allowed) {
        double sum = allowed.stream().mapToDouble(natural::get).sum();
        Map<String, Double> shares = new TreeMap<>();
        natural.forEach((zone, share) ->
                shares.put(zone, !allowed.contains(zone) ? 0 : sum > 1e-9 ? share / sum : 1.0 / allowed.size()));
        return shares;
    }

    /** Towards the plan by one step, all shares of a station in the same part, so that they still add up. */
    private Map<String, Map<String, Double>> stepped(Map<String, Map<String, Double>> target) {
        Map<String, Map<String, Double>> next = new TreeMap<>();
        target.forEach((station, wanted) -> {
            Map<String, Double> start = new TreeMap<>(shares.getOrDefault(station, natural));
            wanted.keySet().forEach(zone -> start.putIfAbsent(zone, 0.0));
            // What was kept may name data centres that nothing was heard of since: they are left step by step, too.
            double most = start.keySet().stream()
                    .mapToDouble(zone -> Math.abs(wanted.getOrDefault(zone, 0.0) - start.get(zone)))
                    .max()
                    .orElse(0);
            double part = most <= tuning.step() ? 1 : tuning.step() / most;
            Map<String, Double> moved = new TreeMap<>();
            start.forEach((zone, share) -> moved.put(zone, share + part * (wanted.getOrDefault(zone, 0.0) - share)));
            next.put(station, moved);
        });
        return next;
    }

    private boolean stepsWithin(Map<String, Map<String, Double>> before) {
        return shares.entrySet().stream().allMatch(station -> {
            Map<String, Double> was = before.get(station.getKey());
            double sum = station.getValue().values().stream()
                    .mapToDouble(share -> share)
                    .sum();
            return Math.abs(sum - 1) < 1e-6
                    && (was == null
                            || station.getValue().entrySet().stream()
                                    .allMatch(each -> Math.abs(each.getValue() - was.getOrDefault(each.getKey(), 0.0))
                                            <= tuning.step() + 1e-9));
        });
    }

    // ---- Factors ----

    /**
     * Shares as factors. A session's lot lets a data centre's servers stand in its draw or not; the factor is the
     * chance that they do. Of those sessions a part goes there, the pull. So the factor is share over pull, and 1
     * where no less than the natural share is wanted.
     */
    private Map<String, Map<String, Double>> factors(Set<String> zones) {
        Map<String, Map<String, Double>> next = new TreeMap<>();
        for (String station : contracts.keySet()) {
            Map<String, Double> before = factors.getOrDefault(station, Map.of());
            Map<String, Double> wanted = shares.getOrDefault(station, Map.of());
            Map<String, Double> now = new TreeMap<>();
            for (String zone : zones) {
                double was = before.getOrDefault(zone, 1.0);
                now.put(zone, paced(was, factor(wanted.getOrDefault(zone, 1.0), zone), idle(zone)));
            }
            next.put(station, now);
        }
        return next;
    }

    private double factor(double share, String zone) {
        double usual = natural.getOrDefault(zone, 0.0);
        return share >= usual - 1e-6 ? 1 : Math.max(Steering.FLOOR, Math.min(1, share / pull(zone)));
    }

    /** The factor under which a data centre gets less than its natural share; from there to 1 it changes little. */
    private double idle(String zone) {
        return Math.max(Steering.FLOOR, Math.min(1, natural.getOrDefault(zone, 0.0) / pull(zone)));
    }

    /** Bounded steps, however far the pull was misjudged; and none for noise. */
    private static double paced(double was, double wanted, double idle) {
        double least = Math.max(Steering.FLOOR, Math.min(was, idle) / PACE);
        double most = was * PACE >= idle ? 1 : was * PACE;
        double next = Math.max(least, Math.min(most, wanted));
        boolean still = Math.abs(next - was) < STILL * was && next < 1 && next > Steering.FLOOR;
        return still ? was : next;
    }

    // ---- What lasts ----

    public State state() {
        Map<String, Map<String, State.Turn>> turns = new TreeMap<>();
        flags.forEach((station, zones) -> {
            Map<String, State.Turn> of = new TreeMap<>();
            zones.forEach((zone, flag) -> of.put(zone, State.Turn.of(flag)));
            turns.put(station, of);
        });
        return new State(lastMs, ledger.kept(), copy(shares), copy(factors), turns, holds.kept());
    }

    private static Map<String, Map<String, Double>> copy(Map<String, Map<String, Double>> of) {
        Map<String, Map<String, Double>> copy = new TreeMap<>();
        of.forEach((station, zones) -> copy.put(station, new TreeMap<>(zones)));
        return copy;
    }

    /**
     * Takes back what was kept; contracts have to be set before. A state that is older than stale evidence brings its
     * windows back, as far as they still last, and what data centres hold, but no steering.
     */
    public void restore(State kept, long nowMs) {
        long ageMs = nowMs - kept.atMs();
        ledger.join(kept.windows());
        holds.join(kept.holds(), ageMs);
        if (ageMs < 0 || ageMs > tuning.staleMs()) {
            return;
        }
        shares = copy(kept.shares());
        shares.values()
                .removeIf(zones -> !zones.values().stream().allMatch(share -> share >= 0 && share <= 1)
                        || zones.values().stream().mapToDouble(share -> share).sum() <= 0);
        // Of two sides the greater shares were kept: together they are more than the whole.
        shares.values().forEach(zones -> {
            double sum = zones.values().stream().mapToDouble(share -> share).sum();
            zones.replaceAll((zone, share) -> share / sum);
        });
        factors = copy(kept.factors());
        factors.values().forEach(zones -> zones.values().removeIf(f -> !(f >= Steering.FLOOR && f <= 1)));
        factors.keySet().retainAll(contracts.keySet());
        kept.flags().forEach((station, zones) -> {
            if (contracts.containsKey(station)) {
                zones.forEach((zone, turn) ->
                        flags.computeIfAbsent(station, each -> new TreeMap<>()).merge(zone, turn.flag(), Flag::later));
            }
        });
    }

    /** What stations are planned to have of each data centre, for those who ask why. */
    public Map<String, Map<String, Double>> shares() {
        return copy(shares);
    }

    /** Error budgets spent over each window of each contract, in times of the budget. */
    public List<List<Double>> burnRates(Collection<Contract> of, long nowMs) {
        return of.stream().map(contract -> ledger.burnRates(contract, nowMs)).toList();
    }
}
