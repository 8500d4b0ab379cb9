package peppergauge.promises.evidence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import peppergauge.promises.Cell;
import peppergauge.promises.Contract;
import peppergauge.promises.Evidence;

/**
 * Turns cumulative evidence into tallies by window. What was counted before this ledger looked, or while it did not for
 * long, belongs to no slot and is passed over: ten minutes' misses in one slot would look like a disaster now.
 */
public final class Ledger {

    /** A contract's error budget counts as burning once so much of a window's is spent. */
    private static final double SPENT = 0.1;

    private final Map<Cell, Evidence> last = new HashMap<>();
    private final Map<Cell, List<Ring>> rings = new HashMap<>();
    private final Map<Cell, Tally> fresh = new HashMap<>();
    private Map<String, Contract> contracts = Map.of();

    /** Windows of what is promised as before go on; others begin anew. */
    public void contracts(List<Contract> promised) {
        Map<String, Contract> before = contracts;
        contracts = new HashMap<>();
        promised.forEach(each -> contracts.put(key(each.station(), each.requestClass()), each));
        rings.keySet().removeIf(cell -> {
            Contract was = before.get(key(cell.station(), cell.requestClass()));
            Contract is = contracts.get(key(cell.station(), cell.requestClass()));
            return is == null
                    || was == null
                    || is.withinMs() != was.withinMs()
                    || !is.windowsMs().equals(was.windowsMs());
        });
    }

    private static String key(String station, String requestClass) {
        return station + '\n' + requestClass;
    }

    /**
     * Takes the counters as they stand.
     *
     * @param gap whether nobody looked for long
     */
    public void take(long nowMs, List<Evidence> counters, boolean gap) {
        fresh.clear();
        for (Evidence now : counters) {
            Evidence before = last.put(now.cell(), now);
            // Counters that fell begin anew: what they had counted cannot be told from what they count.
            boolean usable = before != null && !gap && now.kept() >= before.kept() && now.missed() >= before.missed();
            if (usable) {
                long kept = now.kept() - before.kept();
                long missed = now.missed() - before.missed();
                fresh.put(now.cell(), new Tally(kept, missed));
                ringsOf(now.cell()).forEach(ring -> ring.add(nowMs, kept, missed));
            }
        }
    }

    private List<Ring> ringsOf(Cell cell) {
        Contract contract = contracts.get(key(cell.station(), cell.requestClass()));
        return contract == null
                ? List.of()
                : rings.computeIfAbsent(
                        cell,
                        each -> contract.windowsMs().stream().map(Ring::new).toList());
    }

    /** What came with the last counters, of the cells meant. */
    public Tally fresh(Predicate<Cell> meant) {
        Tally sum = Tally.NONE;
        for (Map.Entry<Cell, Tally> each : fresh.entrySet()) {
            sum = meant.test(each.getKey()) ? sum.plus(each.getValue()) : sum;
        }
        return sum;
    }

    /** What came with the last counters from one zone, of each station and class that something is promised. */
    public Map<Cell, Tally> promised(String zone) {
        Map<Cell, Tally> all = new HashMap<>(fresh);
        all.keySet().removeIf(cell -> !cell.zone().equals(zone) || !rings.containsKey(cell));
        return all;
    }

    /** Zones that any evidence names, and stations, in order. */
    public TreeSet<String> zones() {
        TreeSet<String> zones = new TreeSet<>();
        last.keySet().stream()
                .map(Cell::zone)
                .filter(zone -> !zone.equals(Cell.NOWHERE))
                .forEach(zones::add);
        return zones;
    }

    public TreeSet<String> stations() {
        TreeSet<String> stations = new TreeSet<>();
        last.keySet().forEach(cell -> stations.add(cell.station()));
        return stations;
    }

    /** Of one contract in one zone over the last tenth of its shortest window. */
    public Tally quick(Contract contract, String zone, long nowMs) {
        return shortest(contract, zone).map(ring -> ring.quick(nowMs)).orElse(Tally.NONE);
    }

    /** The same over all of it. */
    public Tally whole(Contract contract, String zone, long nowMs) {
        return shortest(contract, zone).map(ring -> ring.window(nowMs)).orElse(Tally.NONE);
    }

    private Optional<Ring> shortest(Contract contract, String zone) {
        return Optional.ofNullable(rings.get(new Cell(contract.station(), contract.requestClass(), zone)))
                .map(known -> known.get(0));
    }

    /**
     * Whether the contract's error budget burns: by two windows, as in multi-window alerts on burn rates (The Site
     * Reliability Workbook, Google 2018, chapter 5). Over a tenth of a window surely more is missed than is allowed,
     * so it burns now; and of the whole window's budget a tenth is spent, so it matters.
     */
    public boolean burns(Contract contract, long nowMs) {
        for (int i = 0; i < contract.windowsMs().size(); i++) {
            Tally window = over(contract, i, nowMs, false);
            if (window.missShare() >= SPENT * contract.allowed()
                    && over(contract, i, nowMs, true).surelyOver(contract.allowed())) {
                return true;
            }
        }
        return false;
    }

    /** Times the budget that is spent over each window; 1 and more is a missed window. */
    public List<Double> burnRates(Contract contract, long nowMs) {
        List<Double> rates = new ArrayList<>();
        for (int i = 0; i < contract.windowsMs().size(); i++) {
            rates.add(over(contract, i, nowMs, false).missShare() / contract.allowed());
            assert rates.get(i) >= 0 && rates.get(i) < Double.POSITIVE_INFINITY : contract + " burns " + rates;
        }
        return rates;
    }

    private Tally over(Contract contract, int window, long nowMs, boolean quick) {
        Tally sum = Tally.NONE;
        for (Map.Entry<Cell, List<Ring>> each : rings.entrySet()) {
            if (each.getKey().station().equals(contract.station())
                    && each.getKey().requestClass().equals(contract.requestClass())) {
                Ring ring = each.getValue().get(window);
                sum = sum.plus(quick ? ring.quick(nowMs) : ring.window(nowMs));
            }
        }
        return sum;
    }

    /** What is to last, sorted: the same evidence gives the same text. */
    public List<Kept> kept() {
        Map<String, Kept> all = new TreeMap<>();
        rings.forEach((cell, known) -> all.put(
                key(cell.station(), cell.requestClass()) + '\n' + cell.zone(),
                new Kept(
                        cell,
                        contracts.get(key(cell.station(), cell.requestClass())).windowsMs(),
                        known.stream().map(Ring::slots).toList())));
        return List.copyOf(all.values());
    }

    /** Takes in windows that were kept, here or on another side; of contracts that have others, none. */
    public void join(List<Kept> kept) {
        for (Kept each : kept) {
            List<Ring> known = ringsOf(each.cell());
            Contract contract =
                    contracts.get(key(each.cell().station(), each.cell().requestClass()));
            if (contract != null && contract.windowsMs().equals(each.windowsMs())) {
                for (int i = 0; i < known.size(); i++) {
                    known.get(i).join(each.windows().get(i));
                }
            }
        }
    }

    /**
     * Windows of one cell.
     *
     * @param windows for each of {@code windowsMs} the tallies by number of the slot, a sixtieth of the window each
     */
    public record Kept(Cell cell, List<Long> windowsMs, List<Map<Long, Tally>> windows) {}
}
