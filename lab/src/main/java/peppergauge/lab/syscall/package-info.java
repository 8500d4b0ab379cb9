/** Lets system calls of one real sidecar fail, beside usual clients, and judges what the clients see. */
package peppergauge.lab.syscall;
