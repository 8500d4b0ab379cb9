/**
 * Runs scenarios in real time: sidecar processes between an open-loop load generator, modelled servers behind real
 * listeners, and stand-ins of discovery. All parts but the processes run on one event loop's thread.
 */
package peppergauge.lab.play;
