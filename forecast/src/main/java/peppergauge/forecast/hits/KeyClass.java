package peppergauge.forecast.hits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.forecast.popularity.Popularity;
import peppergauge.forecast.popularity.Popularity.KeyCount;

/**
 * Sampled keys of one station that came about as often: told apart up to 16 times, then in steps of an eighth.
 *
 * @param station its place among the stations
 * @param keys how many
 * @param count sessions with each, in the mean
 */
record KeyClass(int station, int keys, double count) {

    static List<KeyClass> of(Popularity popularity, List<String> stations) {
        Map<Long, long[]> sums = new TreeMap<>();
        for (KeyCount key : popularity.keys()) {
            long step = key.count() <= 16 ? key.count() : 16 + Math.round(Math.log(key.count() / 16.0) / Math.log(1.125));
            long[] sum = sums.computeIfAbsent((long) stations.indexOf(key.station()) << 32 | step, any -> new long[2]);
            sum[0]++;
            sum[1] += key.count();
        }
        List<KeyClass> classes = new ArrayList<>();
        sums.forEach((at, sum) -> classes.add(new KeyClass((int) (at >> 32), (int) sum[0],
                (double) sum[1] / sum[0])));
        return classes;
    }
}
