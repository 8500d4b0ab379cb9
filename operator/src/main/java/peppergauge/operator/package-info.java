/**
 * Reads operator files, which are TOML configuration files, and validates them strictly against schemas in code.
 *
 * <p>A file names its kind in the key {@code kind}. A {@link peppergauge.operator.FileKind} consists of
 * {@link peppergauge.operator.Section}s, which subsystems contribute; a section is a
 * {@link peppergauge.operator.Table} of {@link peppergauge.operator.Key}s, each with a
 * {@link peppergauge.operator.Type}. {@link peppergauge.operator.OperatorFiles} reads a file into typed
 * {@link peppergauge.operator.Values}, or returns all of its {@link peppergauge.operator.Problem}s;
 * {@link peppergauge.operator.SchemaPrinter} prints the schemas as documentation.
 *
 * <p>The TOML library is tomlj, not jackson-dataformat-toml: Jackson's parser reads the whole file into a tree before
 * it returns the first token, so neither its tree nor its tokens have line numbers, and it stops at the first error.
 * tomlj has the position of each key and list item and continues after an error.
 */
package peppergauge.operator;
