package peppergauge.operator;

import java.util.List;
import java.util.Optional;

/**
 * The outcome of reading an operator file.
 *
 * @param kind empty if the file names no kind or an unknown one
 * @param values the values of the whole file; present exactly if there are no problems
 * @param problems all errors, in the order of the file
 */
public record ReadResult(Optional<FileKind> kind, Optional<Values> values, List<Problem> problems) {

    static ReadResult of(Optional<FileKind> kind, Optional<Values> values, Problems problems) {
        return new ReadResult(kind, problems.isEmpty() ? values : Optional.empty(), problems.sorted());
    }
}
