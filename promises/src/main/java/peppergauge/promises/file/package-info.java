/** Contracts as operators write them. */
package peppergauge.promises.file;
