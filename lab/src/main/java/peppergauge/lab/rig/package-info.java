/** Sidecars, backend servers, discovery and further programs, each a process, with faulty links between them. */
package peppergauge.lab.rig;
