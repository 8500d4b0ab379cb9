/** The decision of each period: from evidence to the table that sidecars are told. */
package peppergauge.promises.steer;
