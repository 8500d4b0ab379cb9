package peppergauge.promises;

/** Forecast of the work that migrating a tenant's requests causes while caches are cold for its keys. */
@FunctionalInterface
public interface MigrationCost {

    /** No forecast: migration costs nothing. */
    MigrationCost NONE = (tenant, zone, fromShare, toShare) -> 0;

    /**
     * Returns the additional work in a zone while its caches warm up, in units of the tenant's mean work there.
     *
     * @param fromShare share of the tenant's requests in the zone before, 0 to 1
     * @param toShare share after
     * @return 0 or more
     */
    double extraWork(String tenant, String zone, double fromShare, double toShare);
}
