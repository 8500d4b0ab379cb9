/**
 * The reader for the files that operators write: TOML, checked strictly against schemas declared in code.
 *
 * <p>A file begins with {@code kind = "..."}. A {@link peppergauge.operator.FileKind} is made of
 * {@link peppergauge.operator.Section}s, which subsystems contribute; a section is a
 * {@link peppergauge.operator.Table} of {@link peppergauge.operator.Key}s, each with a
 * {@link peppergauge.operator.Type}. {@link peppergauge.operator.OperatorFiles} reads a file to typed
 * {@link peppergauge.operator.Values}, or to all of its {@link peppergauge.operator.Problem}s;
 * {@link peppergauge.operator.SchemaPrinter} prints the same schemas for people.
 *
 * <p>The TOML library is tomlj, not jackson-dataformat-toml: Jackson's parser reads the whole file to a tree before
 * it hands out the first token, so neither its tree nor its tokens know lines, and it stops at the first error.
 * tomlj knows the place of each key and list item and goes on after an error.
 */
package peppergauge.operator;
