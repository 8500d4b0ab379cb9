/**
 * Stations' promises: what clients of each saw, and to which data centres its sessions lean therefore. Decides only:
 * no I/O, clock or threads.
 */
package peppergauge.promises;
