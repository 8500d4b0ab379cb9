package peppergauge.lab.rig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.fault.ScheduledFault;

/**
 * Generates from a seed a zone that is slow for a long time, and faults of fleet service instances during that time:
 * they are ended, stopped, and disconnected from daemons and from each other. Each instance has one fault at a time.
 */
final class FleetFaultGenerator {

    private static final List<FaultKind> PROCESS_FAULTS =
            List.of(FaultKind.KILL, FaultKind.KILL_WIPED, FaultKind.KILL_TORN, FaultKind.TERMINATE, FaultKind.STOP);
    private static final int LINK_FAULTS = 4;
    /** One of this many seeds disconnects all daemons from all instances until leases expire. */
    private static final int SEEDS_PER_ISOLATION = 3;

    private final UniformRandomProvider random;
    private final double lengthS;

    /** @param lengthS length of the run; the slow zone lasts half of it and begins after a fifth */
    FleetFaultGenerator(long seed, double lengthS) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.lengthS = lengthS;
    }

    /** Returns delays on all links to the servers of one zone. They are the same for all modes of a seed. */
    List<ScheduledFault> slowZone(List<String> servers, int zones) {
        int zone = random.nextInt(zones);
        double size = 150 + random.nextInt(150);
        List<ScheduledFault> faults = new ArrayList<>();
        for (int i = zone; i < servers.size(); i += zones) {
            faults.add(new ScheduledFault(
                    time(0.2 * lengthS),
                    FaultKind.DELAY,
                    "*>" + servers.get(i),
                    time(0.5 * lengthS),
                    Optional.of(size)));
        }
        return faults;
    }

    /**
     * Returns faults of the fleet service's instances.
     *
     * @param leaseS duration of a table's lease
     */
    List<ScheduledFault> instanceFaults(long seed, int instances, double leaseS) {
        List<ScheduledFault> faults = new ArrayList<>();
        double[] busyUntil = new double[instances];
        double isolationS = seed % SEEDS_PER_ISOLATION == 0 ? 0.4 * lengthS : Double.POSITIVE_INFINITY;
        for (double atS = 5; atS < 0.8 * lengthS; atS += 2 + 4 * random.nextDouble()) {
            int instance = random.nextInt(instances);
            double durationS = 4 + 10 * random.nextDouble();
            int what = random.nextInt(PROCESS_FAULTS.size() + LINK_FAULTS);
            if (busyUntil[instance] < atS && (atS + durationS + 1 < isolationS || atS > isolationS + leaseS + 6)) {
                busyUntil[instance] = atS + durationS + 3;
                add(faults, what, atS, durationS, "fleet-" + (instance + 1));
            }
        }
        if (isolationS < lengthS) {
            faults.add(new ScheduledFault(
                    time(isolationS), FaultKind.DROP, "sidecar-*>fleet-*", time(leaseS + 5), Optional.empty()));
        }
        return faults;
    }

    private static void add(List<ScheduledFault> faults, int what, double atS, double durationS, String instance) {
        if (what < PROCESS_FAULTS.size()) {
            faults.add(new ScheduledFault(
                    time(atS), PROCESS_FAULTS.get(what), instance, time(durationS), Optional.empty()));
            return;
        }
        List<String> links = switch (what - PROCESS_FAULTS.size()) {
            // The callers are all processes; daemons; the other instances, so that two groups issue tables; some
            // daemons.
            case 0 -> List.of("*>" + instance);
            case 1 -> List.of("sidecar-*>" + instance);
            case 2 -> List.of("fleet-*>" + instance, instance + ">fleet-*");
            default -> List.of("sidecar-1*>" + instance);
        };
        links.forEach(link ->
                faults.add(new ScheduledFault(time(atS), FaultKind.DROP, link, time(durationS), Optional.empty())));
    }

    private static Duration time(double seconds) {
        return Duration.ofMillis((long) (1e3 * seconds));
    }
}
