/**
 * A fleet in virtual time: the sidecar's own sessions, module and overload control on a clock, timer queue, backend and
 * frontends of this package. One thread, no wall clock, no order of a hash table in any result: the same scenario and
 * seed give the same trace.
 *
 * <p>{@link peppergauge.lab.emulator.Emulator} wires one run. Models: {@code BackendServer} and its parts,
 * {@code Links}, {@code DiscoveryModel}, {@code Application}, {@code EmulatedSidecar}. {@code Rulebook} holds them to
 * the rules; {@code Director} makes the script happen.
 */
package peppergauge.lab.emulator;
