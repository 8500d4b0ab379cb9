/** The commands of {@code peppergauge} and their options; no other package uses picocli. */
package peppergauge.lab.command;
