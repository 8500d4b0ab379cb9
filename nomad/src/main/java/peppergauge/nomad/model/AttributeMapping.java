package peppergauge.nomad.model;

import java.util.List;
import java.util.Optional;

/**
 * Where a server's zone, cell, kind and weight are read from: {@code datacenter}, {@code tag:PREFIX} (the rest of the
 * first tag with this prefix) or {@code node-meta:KEY}.
 *
 * @param zone source of the zone's name, which is looked up in {@code zones}
 * @param cell source of a whole number
 * @param kind source of a text
 * @param weight source of a number; with 0 the server is draining
 * @param zones names of the zones by index
 */
public record AttributeMapping(
        Optional<String> zone,
        Optional<String> cell,
        Optional<String> kind,
        Optional<String> weight,
        List<String> zones) {

    private static final String META = "node-meta:";
    private static final String TAG = "tag:";

    public AttributeMapping {
        zones = List.copyOf(zones);
    }

    /** Returns whether a server's node must be known. */
    boolean needsNodes() {
        return List.of(zone, cell, kind, weight).stream()
                .flatMap(Optional::stream)
                .anyMatch(place -> place.startsWith(META));
    }

    int zone(Registration of, Node on) {
        return zones.indexOf(text(zone, of, on).orElse(""));
    }

    int cell(Registration of, Node on) {
        try {
            return text(cell, of, on).map(Integer::parseInt).orElse(0);
        } catch (NumberFormatException none) {
            return 0;
        }
    }

    String kind(Registration of, Node on) {
        return text(kind, of, on).orElse("");
    }

    /** Returns the weight; 1 where it is absent or no number. */
    double weight(Registration of, Node on) {
        try {
            return text(weight, of, on)
                    .map(Double::parseDouble)
                    .filter(number -> number >= 0)
                    .orElse(1.0);
        } catch (NumberFormatException none) {
            return 1;
        }
    }

    private static Optional<String> text(Optional<String> place, Registration of, Node on) {
        return place.flatMap(where -> {
            if (where.startsWith(TAG)) {
                String prefix = where.substring(TAG.length());
                return of.tags().stream()
                        .filter(tag -> tag.startsWith(prefix))
                        .findFirst()
                        .map(tag -> tag.substring(prefix.length()));
            }
            if (where.startsWith(META)) {
                return on == null
                        ? Optional.empty()
                        : Optional.ofNullable(on.meta().get(where.substring(META.length())));
            }
            return Optional.of(of.datacenter());
        });
    }
}
