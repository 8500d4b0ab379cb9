package peppergauge.forecast.hits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.forecast.placement.Homes;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.Step;
import peppergauge.forecast.popularity.Popularity;

/** Which parts of the sessions each server gets over time, servers with alike parts taken together. */
final class Course {

    /**
     * Servers with alike parts.
     *
     * @param count of them; a fraction where a part of them has more luck
     * @param parts by station, then by step: of the station's sessions at one of them
     */
    record Group(List<String> ids, double count, double[][] parts) {}

    /** Beginnings of the steps, ms; the first is long ago, the second 0. */
    final double[] fromMs;

    final List<Placement> placements = new ArrayList<>();
    final List<Homes> homes = new ArrayList<>();
    final List<Group> groups = new ArrayList<>();

    Course(Placement before, List<Step> steps, List<String> stations, Popularity popularity) {
        fromMs = new double[steps.size() + 1];
        fromMs[0] = Double.NEGATIVE_INFINITY;
        placements.add(before);
        for (int i = 0; i < steps.size(); i++) {
            fromMs[i + 1] = steps.get(i).atMs();
            placements.add(steps.get(i).placement());
        }
        placements.forEach(placement -> homes.add(new Homes(placement, popularity)));
        collect(stations);
    }

    private void collect(List<String> stations) {
        Map<String, double[][]> parts = new LinkedHashMap<>();
        for (int step = 0; step < fromMs.length; step++) {
            for (int station = 0; station < stations.size(); station++) {
                double[] shares = placements.get(step).shares(stations.get(station));
                int at = 0;
                for (Server server : placements.get(step).servers()) {
                    parts.computeIfAbsent(server.id(), id -> new double[stations.size()][fromMs.length])[station][
                                    step] =
                            shares[at++];
                }
            }
        }
        Map<String, List<String>> alike = new LinkedHashMap<>();
        parts.forEach((id, own) -> alike.computeIfAbsent(Arrays.deepToString(own), any -> new ArrayList<>())
                .add(id));
        alike.values().forEach(ids -> spread(ids, parts.get(ids.get(0))));
    }

    /** Servers of which sidecars' choice of members makes more or less. */
    private void spread(List<String> ids, double[][] parts) {
        List<double[]> luck = placements.stream().map(Placement::luck).toList();
        int values = luck.stream().mapToInt(each -> each.length).max().orElse(1);
        for (int value = 0; value < values; value++) {
            double[][] own = new double[parts.length][];
            for (int station = 0; station < parts.length; station++) {
                own[station] = parts[station].clone();
                for (int step = 0; step < fromMs.length; step++) {
                    own[station][step] *= luck.get(step)[Math.min(value, luck.get(step).length - 1)];
                }
            }
            groups.add(new Group(ids, (double) ids.size() / values, own));
        }
    }

    /** Which step it is at this time. */
    int step(double ms) {
        int step = 0;
        while (step + 1 < fromMs.length && fromMs[step + 1] <= ms) {
            step++;
        }
        return step;
    }
}
