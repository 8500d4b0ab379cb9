package peppergauge.fleet.plan;

import java.util.ArrayList;
import java.util.List;
import peppergauge.fleet.decide.Asked;

/** One that is answered again and again. */
record Question(Asked.Kind kind, String zone, double share) {

    static List<Question> all(List<String> zones) {
        List<Question> all = new ArrayList<>();
        if (zones.size() > 1) {
            // With one zone alone nothing is left where it is lost, and shunning it changes nothing.
            zones.forEach(zone -> {
                all.add(new Question(Asked.Kind.ZONE_LOST, zone, 0));
                all.add(new Question(Asked.Kind.ZONE_SHUNNED, zone, 0));
            });
        }
        Asked.SHARES.forEach(share -> all.add(new Question(Asked.Kind.REPLACED, "", share)));
        return all;
    }

    String text() {
        return new Asked(kind, zone, share).text();
    }
}
