/**
 * The result of a run and its JSON form, for reports and comparisons. Nothing here depends on how the run was made.
 *
 * <p>Requests, client attempts and backend attempts are those of the package emulator. In the JSON form a client
 * attempt is a try and a backend attempt an attempt.
 */
package peppergauge.lab.result;
