package peppergauge.lab.scenario;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Whom an entry means, as written: {@code all}, {@code zone:north}, {@code share:0.2}, {@code gen-a}, {@code gen-a-1},
 * {@code sidecars}, {@code sidecars:0.5}, {@code sidecar-1}, {@code class:list}, {@code tenant:station}.
 *
 * @param form which of these
 * @param name of the zone, kind, class or tenant; empty where there is none
 * @param number of the server or sidecar, from 1; 0 where there is none
 * @param share 0 to 1; 1 where none is written
 */
public record Target(Form form, String name, int number, double share) {

    /** How it is written. */
    public enum Form {
        ALL,
        ZONE,
        SHARE,
        SERVER_KIND,
        SERVER,
        SIDECARS,
        SIDECAR,
        CLASS,
        TENANT
    }

    /** What an incident can happen to, in words and as forms. */
    public enum Kind {
        SERVERS(
                "all, zone:NAME, share:NUMBER, a kind or a server",
                Form.ALL,
                Form.ZONE,
                Form.SHARE,
                Form.SERVER_KIND,
                Form.SERVER),
        ZONE("zone:NAME", Form.ZONE),
        SIDECARS("sidecars, sidecars:SHARE, sidecar-NUMBER or zone:NAME", Form.SIDECARS, Form.SIDECAR, Form.ZONE),
        CLIENTS(
                "all, sidecars, sidecar-NUMBER, class:NAME or tenant:NAME",
                Form.ALL,
                Form.SIDECARS,
                Form.SIDECAR,
                Form.CLASS,
                Form.TENANT),
        CLASSES("all or class:NAME", Form.ALL, Form.CLASS),
        ALL("all", Form.ALL);

        private final String words;
        private final java.util.List<Form> forms;

        Kind(String words, Form... forms) {
            this.words = words;
            this.forms = java.util.List.of(forms);
        }

        /** What may be written. */
        public String words() {
            return words;
        }

        boolean allows(Form form) {
            return forms.contains(form);
        }
    }

    private static final Pattern NUMBERED = Pattern.compile("(.+)-(\\d{1,5})");

    /** Empty if it names nothing of the scenario. */
    static Optional<Target> of(String text, Scenario scenario) {
        int colon = text.indexOf(':');
        String rest = text.substring(colon + 1);
        return switch (colon < 0 ? text : text.substring(0, colon + 1)) {
            case "all" -> Optional.of(new Target(Form.ALL, "", 0, 1));
            case "sidecars" -> Optional.of(new Target(Form.SIDECARS, "", 0, 1));
            case "share:" -> share(rest).map(share -> new Target(Form.SHARE, "", 0, share));
            case "sidecars:" -> share(rest).map(share -> new Target(Form.SIDECARS, "", 0, share));
            case "zone:" -> named(Form.ZONE, rest, scenario.network().zones().contains(rest));
            case "class:" ->
                named(
                        Form.CLASS,
                        rest,
                        scenario.classes().stream().anyMatch(kind -> kind.name().equals(rest)));
            case "tenant:" ->
                named(
                        Form.TENANT,
                        rest,
                        scenario.tenants().stream()
                                .anyMatch(tenant -> tenant.name().equals(rest)));
            default -> colon < 0 ? entity(text, scenario) : Optional.empty();
        };
    }

    private static Optional<Target> named(Form form, String name, boolean known) {
        return known ? Optional.of(new Target(form, name, 0, 1)) : Optional.empty();
    }

    private static Optional<Double> share(String text) {
        return text.matches("0?\\.\\d{1,6}|1|1\\.0") ? Optional.of(Double.parseDouble(text)) : Optional.empty();
    }

    private static Optional<Target> entity(String text, Scenario scenario) {
        if (scenario.servers().stream().anyMatch(kind -> kind.name().equals(text))) {
            return Optional.of(new Target(Form.SERVER_KIND, text, 0, 1));
        }
        Matcher numbered = NUMBERED.matcher(text);
        if (!numbered.matches()) {
            return Optional.empty();
        }
        String name = numbered.group(1);
        int number = Integer.parseInt(numbered.group(2));
        if (name.equals("sidecar")) {
            return number >= 1 && number <= scenario.sidecars().count()
                    ? Optional.of(new Target(Form.SIDECAR, "", number, 1))
                    : Optional.empty();
        }
        return scenario.servers().stream()
                .filter(kind -> kind.name().equals(name))
                .filter(kind -> number >= 1 && number <= kind.count())
                .findFirst()
                .map(kind -> new Target(Form.SERVER, name, number, 1));
    }
}
