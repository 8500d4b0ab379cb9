package peppergauge.nomad.picture;

import java.util.List;
import java.util.Optional;

/**
 * Where a server's zone, cell, kind and weight stand. Each place is {@code datacenter}, {@code tag:PREFIX} (the rest
 * of the first tag that begins so) or {@code node-meta:KEY}.
 *
 * @param zone whose text is looked up in {@code zones}; a zone that is not there is like no other
 * @param cell a whole number
 * @param kind a text
 * @param weight a number; 0 means nothing new
 * @param zones the names in the module's order
 */
public record Mapping(
        Optional<String> zone,
        Optional<String> cell,
        Optional<String> kind,
        Optional<String> weight,
        List<String> zones) {

    private static final String META = "node-meta:";
    private static final String TAG = "tag:";

    public Mapping {
        zones = List.copyOf(zones);
    }

    /** Whether a node must be known before a server on it can be told. */
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

    /** 1 where none is told or it is no number. */
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
