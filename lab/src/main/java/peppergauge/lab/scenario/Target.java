package peppergauge.lab.scenario;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The target of an incident. It is written as {@code all}, {@code zone:north}, {@code share:0.2}, {@code gen-a},
 * {@code gen-a-1}, {@code sidecars}, {@code sidecars:0.5}, {@code sidecar-1}, {@code class:list} or
 * {@code tenant:station}.
 *
 * @param form which of these forms it has
 * @param name name of the zone, server kind, class or tenant; empty if the form has none
 * @param number number of the server or sidecar, from 1; 0 if the form has none
 * @param share share of the servers or sidecars, 0 to 1; 1 if none is written
 */
public record Target(Form form, String name, int number, double share) {

    /** The forms in which a target is written. */
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

    /** The targets that an incident accepts, as a description and as forms. */
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

        private final String description;
        private final List<Form> forms;

        Kind(String description, Form... forms) {
            this.description = description;
            this.forms = List.of(forms);
        }

        /** Returns what may be written, for error messages. */
        public String description() {
            return description;
        }

        boolean allows(Form form) {
            return forms.contains(form);
        }
    }

    private static final Pattern NUMBERED_NAME = Pattern.compile("(.+)-(\\d{1,5})");

    /** Parses a target; empty if it does not exist in the scenario. */
    static Optional<Target> of(String text, Scenario scenario) {
        int colon = text.indexOf(':');
        String rest = text.substring(colon + 1);
        return switch (colon < 0 ? text : text.substring(0, colon + 1)) {
            case "all" -> Optional.of(new Target(Form.ALL, "", 0, 1));
            case "sidecars" -> Optional.of(new Target(Form.SIDECARS, "", 0, 1));
            case "share:" -> share(rest).map(share -> new Target(Form.SHARE, "", 0, share));
            case "sidecars:" -> share(rest).map(share -> new Target(Form.SIDECARS, "", 0, share));
            case "zone:" -> ifKnown(Form.ZONE, rest, scenario.network().zones().contains(rest));
            case "class:" ->
                ifKnown(
                        Form.CLASS,
                        rest,
                        scenario.classes().stream().anyMatch(kind -> kind.name().equals(rest)));
            case "tenant:" ->
                ifKnown(
                        Form.TENANT,
                        rest,
                        scenario.tenants().stream()
                                .anyMatch(tenant -> tenant.name().equals(rest)));
            default -> colon < 0 ? serverOrSidecar(text, scenario) : Optional.empty();
        };
    }

    private static Optional<Target> ifKnown(Form form, String name, boolean known) {
        return known ? Optional.of(new Target(form, name, 0, 1)) : Optional.empty();
    }

    private static Optional<Double> share(String text) {
        return text.matches("0?\\.\\d{1,6}|1|1\\.0") ? Optional.of(Double.parseDouble(text)) : Optional.empty();
    }

    private static Optional<Target> serverOrSidecar(String text, Scenario scenario) {
        if (scenario.servers().stream().anyMatch(kind -> kind.name().equals(text))) {
            return Optional.of(new Target(Form.SERVER_KIND, text, 0, 1));
        }
        Matcher numbered = NUMBERED_NAME.matcher(text);
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
