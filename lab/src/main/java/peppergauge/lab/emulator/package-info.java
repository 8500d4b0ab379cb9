/**
 * Emulates a fleet in virtual time: the sidecars' real request dispatchers, load balancers and overload controllers run
 * on the clock, timers, backend and clients of this package. A run uses one thread, no wall clock and no hash table
 * order, so that the same scenario and seed result in the same trace.
 *
 * <p>{@link peppergauge.lab.emulator.Emulator} assembles one run. The models are {@code BackendServer} and its parts,
 * {@code NetworkModel}, {@code DiscoveryModel}, {@code Application} and {@code EmulatedSidecar}. {@code Rulebook}
 * collects rule violations, and {@code IncidentRunner} applies the incidents of the script.
 *
 * <p>A request is what a client wants done; it has one or more client attempts, the first and the client's retries. A
 * sidecar handles each client attempt as one request of its own and makes backend attempts for it, one at a time, each
 * at one server.
 */
package peppergauge.lab.emulator;
