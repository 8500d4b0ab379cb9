package peppergauge.bodies;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import peppergauge.bodies.ledger.Bounds;

/**
 * What an operator sets for long bodies; sizes in bytes.
 *
 * @param longestRequest body of a request
 * @param longestAnswer body of an answer
 * @param window of one flow in memory
 * @param windows of all flows together
 * @param socketBuffer bytes that the kernel may hold of a body in each direction; 0 leaves that to it
 * @param keeps who may keep how much for a retry
 * @param folder for files; none without one
 * @param keptOnly names of classes whose bodies are refused where they cannot be kept
 * @param leastRate bytes a second that a side must move in its turn
 * @param rateOver over how much of its turn
 * @param finish how long bodies under way may take once the program was told to end
 */
public record BodiesSettings(
        long longestRequest,
        long longestAnswer,
        long window,
        long windows,
        int socketBuffer,
        Bounds keeps,
        Optional<Path> folder,
        List<String> keptOnly,
        long leastRate,
        Duration rateOver,
        Duration finish) {

    public BodiesSettings {
        keptOnly = List.copyOf(keptOnly);
    }
}
