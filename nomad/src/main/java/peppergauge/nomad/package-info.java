/**
 * The server table from Nomad's service API, as {@link peppergauge.SidecarExtension} of the sidecar; off unless an operator's
 * file says otherwise. docs/NOMAD.md has the options weighed, each setting and each fault.
 */
package peppergauge.nomad;
