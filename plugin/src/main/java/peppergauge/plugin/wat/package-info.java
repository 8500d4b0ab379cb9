/** An assembler for the WebAssembly text format, for example plug-ins and tests. */
package peppergauge.plugin.wat;
