package peppergauge.nomad.model;

import java.util.List;
import java.util.Optional;

/**
 * Sources of a server's zone, cell, kind and weight. A source is {@code datacenter}, {@code tag:PREFIX} (the rest of
 * the first tag with this prefix) or {@code node-meta:KEY}.
 *
 * @param zone source of the zone's name, which is looked up in {@code zones}
 * @param cell source of the cell, a whole number
 * @param kind source of the kind, a text
 * @param weight source of the weight, a number; a server with weight 0 is draining
 * @param zones names of the zones by index
 */
public record AttributeMapping(
        Optional<String> zone,
        Optional<String> cell,
        Optional<String> kind,
        Optional<String> weight,
        List<String> zones) {

    private static final String NODE_META_PREFIX = "node-meta:";
    private static final String TAG_PREFIX = "tag:";

    public AttributeMapping {
        zones = List.copyOf(zones);
    }

    /** Returns whether any attribute is read from the node. */
    boolean needsNodes() {
        return List.of(zone, cell, kind, weight).stream()
                .flatMap(Optional::stream)
                .anyMatch(source -> source.startsWith(NODE_META_PREFIX));
    }

    /** Returns the index of the zone; -1 if the zone is not known. */
    int zone(Registration registration, Node node) {
        return zones.indexOf(text(zone, registration, node).orElse(""));
    }

    /** Returns the cell; 0 where it is absent or not a number. */
    int cell(Registration registration, Node node) {
        try {
            return text(cell, registration, node).map(Integer::parseInt).orElse(0);
        } catch (NumberFormatException invalid) {
            return 0;
        }
    }

    /** Returns the kind; empty where it is absent. */
    String kind(Registration registration, Node node) {
        return text(kind, registration, node).orElse("");
    }

    /** Returns the weight; 1 where it is absent, negative or not a number. */
    double weight(Registration registration, Node node) {
        try {
            return text(weight, registration, node)
                    .map(Double::parseDouble)
                    .filter(number -> number >= 0)
                    .orElse(1.0);
        } catch (NumberFormatException invalid) {
            return 1;
        }
    }

    /** Returns the text of an attribute; the node is null if it is not known. */
    private static Optional<String> text(Optional<String> source, Registration registration, Node node) {
        return source.flatMap(place -> {
            if (place.startsWith(TAG_PREFIX)) {
                String prefix = place.substring(TAG_PREFIX.length());
                return registration.tags().stream()
                        .filter(tag -> tag.startsWith(prefix))
                        .findFirst()
                        .map(tag -> tag.substring(prefix.length()));
            }
            if (place.startsWith(NODE_META_PREFIX)) {
                return node == null
                        ? Optional.empty()
                        : Optional.ofNullable(node.meta().get(place.substring(NODE_META_PREFIX.length())));
            }
            return Optional.of(registration.datacenter());
        });
    }
}
