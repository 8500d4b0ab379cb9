package peppergauge.decision;

import java.util.List;
import peppergauge.decision.LoadBalancer.LoadField;

/**
 * Estimates the requests in flight at each server: own ones, those of other instances by the last load report, and the
 * mean of the server's machine kind in place of a report that is old or never came.
 */
final class LoadEstimator {

    /** Idle latencies in which a report fades into the mean of the server's kind. */
    private static final double REPORT_LIFETIME_LATENCIES = 3;

    /** Expected latencies after which an attempt counts as lost, if the server answered one that was sent later. */
    private static final double LOST_LATENCIES = 6;

    private final List<LoadField> fields;
    private final LatencyEstimator latency;
    private final SlowStart slowStart;

    /** Other instances' requests in flight at warm servers, by their reports. */
    final DecayingAverage othersInFlight = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    LoadEstimator(List<LoadField> fields, LatencyEstimator latency, SlowStart slowStart) {
        this.fields = fields;
        this.latency = latency;
        this.slowStart = slowStart;
    }

    /**
     * Takes a load report.
     *
     * @param report values in the order of the settings' fields; null if none came
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
     * @param isSubset whether this instance works with a part of the servers only
     */
    void updateServer(Server server, boolean isSubset, double nowMs) {
        server.ownInFlight = ownInFlight(server, nowMs);
        double trust = reportTrust(server, nowMs);
        server.knownInFlight = server.ownInFlight + trust * server.reportedOthersInFlight;
        server.inFlight = server.knownInFlight + (1 - trust) * usualOthersInFlight(server, isSubset, nowMs);
    }

    /** How far the last report still holds, 0 to 1. */
    private static double reportTrust(Server server, double nowMs) {
        return Math.exp((server.reportedMs - nowMs) / (REPORT_LIFETIME_LATENCIES * Math.max(1, server.idleLatencyMs)));
    }

    /** Others' requests in flight at servers of this kind; those that warm up are a kind of their own. */
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

    /** Own attempts in flight at a server, without those that are taken for lost. */
    private static int ownInFlight(Server server, double nowMs) {
        int inFlight = server.openAttempts.size();
        for (Request.Attempt attempt : server.openAttempts) {
            inFlight -= nowMs - attempt.sentMs > LOST_LATENCIES * attempt.expectedLatencyMs
                            && server.newestAnsweredSendMs > attempt.sentMs
                    ? 1
                    : 0;
        }
        return inFlight;
    }
}
