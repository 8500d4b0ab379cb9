package peppergauge.decision;

import java.util.List;
import peppergauge.decision.LoadBalancer.LoadField;

/**
 * Estimates the requests in flight at each server: those of this instance, plus those of other instances by the
 * server's last load report. If that report is old or missing, the mean of the machine kind takes its place.
 */
final class LoadEstimator {

    /** Time constant with which a load report loses its weight to the mean of the machine kind, in idle latencies. */
    private static final double REPORT_LIFETIME_LATENCY_MULTIPLE = 3;

    /** An attempt counts as lost after this multiple of its expected latency, if a later one has succeeded. */
    private static final double LOST_LATENCY_MULTIPLE = 6;

    private final List<LoadField> fields;
    private final LatencyEstimator latency;
    private final SlowStart slowStart;

    /** Other instances' requests in flight at warm servers, by load reports. */
    final DecayingAverage othersInFlight = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    LoadEstimator(List<LoadField> fields, LatencyEstimator latency, SlowStart slowStart) {
        this.fields = fields;
        this.latency = latency;
        this.slowStart = slowStart;
    }

    /**
     * Records a load report.
     *
     * @param report values in the order of the settings' load fields; null if there is no report
     */
    void recordReport(Server server, double[] report, double nowMs) {
        if (report == null) {
            return;
        }
        for (int i = 0; i < Math.min(report.length, fields.size()); i++) {
            if (fields.get(i) == LoadField.IN_FLIGHT && report[i] >= 0) {
                recordInFlight(server, report[i], nowMs);
            } else if (fields.get(i) == LoadField.LATENCY_MS && report[i] > 0) {
                latency.recordServiceTime(server, report[i] * slowStart.capacity(server, nowMs), nowMs);
            }
        }
    }

    private void recordInFlight(Server server, double reported, double nowMs) {
        server.reportedOthersInFlight = Math.max(0, reported - ownInFlight(server, nowMs));
        server.reportedMs = nowMs;
        if (slowStart.capacity(server, nowMs) < 1) {
            server.kindStats.othersInFlightWarmingUp.add(nowMs, server.reportedOthersInFlight);
        } else {
            othersInFlight.add(nowMs, server.reportedOthersInFlight);
            server.kindStats.othersInFlight.add(nowMs, server.reportedOthersInFlight);
        }
    }

    /**
     * Refreshes a server's in-flight estimates from its capacity and idle latency.
     *
     * @param isSubset whether this instance uses only a subset of the servers
     */
    void updateServer(Server server, boolean isSubset, double nowMs) {
        server.ownInFlight = ownInFlight(server, nowMs);
        double weight = reportWeight(server, nowMs);
        server.knownInFlight = server.ownInFlight + weight * server.reportedOthersInFlight;
        server.inFlight = server.knownInFlight + (1 - weight) * usualOthersInFlight(server, isSubset, nowMs);
    }

    /** The weight of the last load report by its age, 0 to 1. */
    private static double reportWeight(Server server, double nowMs) {
        double lifetimeMs = REPORT_LIFETIME_LATENCY_MULTIPLE * Math.max(1, server.idleLatencyMs);
        return StrictMath.exp((server.reportedMs - nowMs) / lifetimeMs);
    }

    /** Mean of other instances' requests in flight at servers of the same machine kind, either warm or warming up. */
    private double usualOthersInFlight(Server server, boolean isSubset, double nowMs) {
        MachineKindStats kind = server.kindStats;
        double warm = MachineKindStats.meanOfKind(kind.othersInFlight, othersInFlight.mean(nowMs), nowMs);
        if (server.capacity >= 1) {
            return warm;
        }
        DecayingAverage warmingUp = kind.othersInFlightWarmingUp;
        double unreported = isSubset ? server.capacity * warm : warmingUp.mean(nowMs);
        return MachineKindStats.meanOfKind(warmingUp, unreported, nowMs);
    }

    /** This instance's attempts in flight at a server, without those that count as lost. */
    private static int ownInFlight(Server server, double nowMs) {
        int inFlight = server.openAttempts.size();
        for (Request.Attempt attempt : server.openAttempts) {
            inFlight -= nowMs - attempt.sentMs > LOST_LATENCY_MULTIPLE * attempt.expectedLatencyMs
                            && server.newestSuccessfulSendMs > attempt.sentMs
                    ? 1
                    : 0;
        }
        return inFlight;
    }
}
