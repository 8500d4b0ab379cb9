/** What bounds long bodies in time and memory: decisions without input or output, clock or threads. */
package peppergauge.bodies.limits;
