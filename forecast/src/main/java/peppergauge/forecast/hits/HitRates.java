package peppergauge.forecast.hits;

import java.util.Map;
import peppergauge.forecast.placement.Placement;

/**
 * Hit rates in one span of time.
 *
 * @param servers by id, of those that get sessions in it
 * @param rise of the hit rate where a server gets twice its mean part of the sessions
 * @param sessions that one span is reckoned to have, fleet-wide
 * @param placement at its end
 */
public record HitRates(
        HitRate fleet,
        Map<String, HitRate> stations,
        Map<String, HitRate> servers,
        double rise,
        double sessions,
        Placement placement) {

    /**
     * Of one sidecar: by its stations, and by how much of what its members get comes from itself.
     *
     * @param mix its sessions by station, in any unit
     * @param share of all sessions that it has, over 0
     */
    public HitRate sidecar(Map<String, Double> mix, double share) {
        double all = mix.values().stream().mapToDouble(Double::doubleValue).sum();
        double[] rate = new double[3];
        mix.forEach((station, sessions) -> {
            HitRate own = stations.getOrDefault(station, fleet);
            rate[0] += own.mean() * sessions / all;
            rate[1] += own.low() * sessions / all;
            rate[2] += own.high() * sessions / all;
        });
        double mean = all > 0 ? rate[0] : fleet.mean();
        double counted = Math.sqrt(mean * (1 - mean) / Math.max(1, share * sessions));
        HitRate whole = all > 0
                ? HitRate.around(mean, (mean - rate[1]) / HitRate.NINETY, (rate[2] - mean) / HitRate.NINETY)
                : fleet;
        double[] luck = placement.luck();
        if (luck.length == 1) {
            return whole.off(0, counted);
        }
        double members = placement.members();
        double typical =
                placement.sidecars().stream().mapToDouble(each -> each * each).sum();
        double spread = 0;
        for (double value : luck) {
            spread += (value - 1) * (value - 1) / luck.length;
        }
        return whole.off(
                rise * (share - typical) * (placement.servers().size() / members - 1),
                Math.hypot(counted, rise * Math.sqrt(spread / members)));
    }
}
