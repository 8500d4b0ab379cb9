/**
 * Scenarios in real time: real sidecars as processes, between modelled servers behind real listeners, discovery's
 * stand-in and an open-loop load. All but the processes is on one loop's thread.
 */
package peppergauge.lab.play;
