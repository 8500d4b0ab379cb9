package peppergauge.forecast.answers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.hits.Forecast;
import peppergauge.forecast.hits.Forecaster;
import peppergauge.forecast.memory.MemoryEstimator;
import peppergauge.forecast.memory.MemoryEstimator.Kind;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.popularity.KeyMerge;
import peppergauge.forecast.popularity.Popularity;
import peppergauge.forecast.trust.TrackRecord;

/** Takes daemons' reports and answers what a change would do, as long as its answers prove right. One thread's. */
public final class Answers {

    private final KeyMerge merge;
    private final TrackRecord record = new TrackRecord();
    private final Map<String, Map<String, Seen>> times = new HashMap<>();
    private final long freshMs;
    private Forecaster known;
    private Placement knownOf;
    private long knownAtMs;

    /**
     * @param windowMs over which sessions count
     * @param forgetMs a daemon silent for so long counts no more
     * @param freshMs what was inferred serves again for so long
     */
    public Answers(long windowMs, long forgetMs, long freshMs) {
        merge = new KeyMerge(windowMs, forgetMs);
        this.freshMs = freshMs;
    }

    /**
     * Takes a report; one that is older than what is known changes nothing.
     *
     * @param seen service times by kind of server
     * @return whether it was taken
     */
    public boolean accept(String daemon, long incarnation, long nowMs, KeyReport keys, Map<String, Seen> seen) {
        boolean taken = merge.accept(daemon, incarnation, nowMs, keys);
        if (taken) {
            times.put(daemon, Map.copyOf(seen));
        }
        return taken;
    }

    /**
     * What a change would do, said whether or not there is trust in it; empty as long as too little was reported.
     *
     * @param parts of all sessions that one server of each kind gets
     */
    public Optional<Forecast> forecast(Placement now, Map<String, Double> parts, PlacementChange change, long nowMs) {
        return forecaster(now, parts, nowMs).map(found -> found.forecast(change));
    }

    /**
     * Work beyond the usual that a station's sessions make in a zone while memories are cold for them, if its share
     * grows there: in the station's mean work there; 0 where nothing is known, or forecasts have no say.
     */
    public double extraWork(
            Placement now,
            Map<String, Double> parts,
            String station,
            String zone,
            double fromShare,
            double toShare,
            long nowMs) {
        return record.trusted()
                ? forecaster(now, parts, nowMs)
                        .map(found -> found.extraWork(station, zone, fromShare, toShare))
                        .orElse(0.0)
                : 0;
    }

    /** What followed one of the forecasts. */
    public TrackRecord record() {
        return record;
    }

    private Optional<Forecaster> forecaster(Placement now, Map<String, Double> parts, long nowMs) {
        if (known == null || nowMs - knownAtMs >= freshMs || !now.equals(knownOf)) {
            Optional<Popularity> popularity =
                    merge.popularity(nowMs).filter(found -> !found.keys().isEmpty());
            times.keySet().retainAll(merge.daemons());
            known = popularity
                    .map(found -> new Forecaster(found, MemoryEstimator.estimate(now, kinds(parts), found), now))
                    .orElse(null);
            knownOf = now;
            knownAtMs = nowMs;
        }
        return Optional.ofNullable(known);
    }

    private List<Kind> kinds(Map<String, Double> parts) {
        List<Kind> kinds = new ArrayList<>();
        new TreeMap<>(parts).forEach((kind, part) -> {
            List<Seen> seen = times.values().stream()
                    .filter(own -> own.containsKey(kind))
                    .map(own -> own.get(kind))
                    .toList();
            if (!seen.isEmpty()) {
                kinds.add(new Kind(part, ServiceTimes.together(seen)));
            }
        });
        // Servers of which nothing was seen tell nothing, but the model needs one kind at least.
        return kinds.isEmpty()
                ? List.of(new Kind(
                        parts.values().stream()
                                .mapToDouble(Double::doubleValue)
                                .max()
                                .orElse(1),
                        ServiceTimes.together(List.of())))
                : kinds;
    }
}
