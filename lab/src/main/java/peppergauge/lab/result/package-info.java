/** What a run leaves behind: records, their JSON, and nothing that depends on how the run was made. */
package peppergauge.lab.result;
