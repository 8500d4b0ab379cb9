/** Links between processes: relays in user space that lose, delay, slow down and cut what passes, as faults say. */
package peppergauge.lab.relay;
