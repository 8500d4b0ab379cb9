package peppergauge.decision;

/** A sum and a weight that both halve every half-life. */
final class Decaying {

    final double halfLifeMs;
    double sum;
    double weight;
    double atMs;

    Decaying(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    void add(double nowMs, double value) {
        decay(nowMs);
        sum += value;
        weight += 1;
    }

    double sum(double nowMs) {
        decay(nowMs);
        return sum;
    }

    double weight(double nowMs) {
        decay(nowMs);
        return weight;
    }

    double mean(double nowMs) {
        decay(nowMs);
        return weight > 0 ? sum / weight : 0;
    }

    void clear() {
        sum = 0;
        weight = 0;
    }

    void decay(double nowMs) {
        if (nowMs > atMs) {
            double keep = Math.exp(-AdaptiveLoadBalancer.LN2 * (nowMs - atMs) / halfLifeMs);
            sum *= keep;
            weight *= keep;
            atMs = nowMs;
        }
    }
}
