/** The limit on the memory that the requests and responses of all connections hold together, of any protocol. */
package peppergauge.memory;
