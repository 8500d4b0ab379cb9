/** Service level objectives as operators write them: {@code [[promise]]} in TOML. */
package peppergauge.promises.file;
