/** Relays between processes that drop, delay, throttle or cut connections while a fault is in effect. */
package peppergauge.lab.relay;
