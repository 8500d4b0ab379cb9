/** Shares of stations over data centres: what each can hold, and who gets the room. */
package peppergauge.promises.plan;
