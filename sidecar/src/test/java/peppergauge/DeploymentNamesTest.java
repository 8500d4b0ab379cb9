package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The sidecar knows its deployment from the settings alone: no site, class, tenant, zone, machine kind or tier of a
 * known deployment is named in its sources or in the deploy file. The names of the sites in {@code deploy/sites} are
 * read from their files; those of two more deployments, whose files are not in this repository, are listed here.
 *
 * <p>Names and texts are split into words, at characters that are neither letters nor digits and at word boundaries of
 * camel case; upper case and a plural s are ignored. A text contains a name if it contains the name's words in
 * sequence, in code, comments or string literals, so that {@code resume-save}, {@code RESUME_SAVE} and
 * {@code resumeSaves} are equal. A name that is an ordinary English word ({@link #ORDINARY}) is searched in string
 * literals only, where it must be the whole literal or a part of it between separators of paths, headers and settings:
 * {@code "order"}, {@code "/order/7"} and {@code "class=order"}, but not {@code "out of order"}.
 */
public class DeploymentNamesTest {

    private static final Path SITES = Path.of("..", "deploy", "sites");
    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "balancer.toml");
    private static final Path SOURCES = Path.of("src", "main");

    private static final List<String> DONGSAN_CATCHUP = List.of(
            "dongsan-catchup",
            "resume-save",
            "episode-list",
            "donation",
            "dongsan-fm",
            "hanul-fm",
            "seorim-radio",
            "gaon-classic",
            "harbour-voice",
            "riverside-fm",
            "dongsan-north",
            "hanul-bay",
            "seorim",
            "gaon-ridge",
            "gen-a",
            "gen-b",
            "episode-api");
    private static final List<String> PADOVA_ARCHIVE = List.of(
            "padova-archive",
            "tile",
            "record",
            "order",
            "lib-padova",
            "lib-bologna",
            "lib-milano",
            "lib-torino",
            "lib-venezia",
            "lib-trento",
            "lib-parma",
            "lib-udine",
            "padova-a",
            "padova-b",
            "vicenza",
            "verona",
            "ferrara",
            "std-4",
            "slow-4",
            "tile-servers");

    /** Names that are also words of technical English or of Java. */
    private static final Set<String> ORDINARY = Set.of(
            "tile", "record", "order", "reading", "tariff", "top-up", "cut-off", "fitting", "bid", "pickup", "ate");

    private static final Pattern SECTION = Pattern.compile("\\s*\\[+([^\\[\\]]+)]+\\s*(#.*)?");
    private static final Pattern NAME = Pattern.compile("\\s*name\\s*=\\s*\"([^\"]+)\".*");
    private static final Pattern ZONES = Pattern.compile("\\s*zones\\s*=\\s*\\[(.*)].*");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\\\n]|\\\\.)*)\"");
    private static final String SEPARATOR = "[/?&=,;:|]";

    @Test
    public void sourcesNameNoKnownDeployment() throws IOException {
        Set<String> names = knownNames();
        List<String> found = new ArrayList<>();
        for (Path file : programFiles()) {
            Text text = Text.of(Files.readString(file));
            names.stream().filter(text::contains).forEach(name -> found.add(file + " names " + name));
        }
        assertTrue(found.isEmpty(), String.join("; ", found));
    }

    @Test
    public void readsNamesFromEverySite() throws IOException {
        for (Path site : siteFiles()) {
            Set<String> names = namesIn(Files.readAllLines(site));
            String own = site.getFileName().toString().replace(".toml", "");
            assertTrue(names.contains(own) && names.size() >= 6, site + " has only " + names);
        }
        assertTrue(
                knownNames()
                        .containsAll(List.of(
                                "kirkwall-meters",
                                "cut-off",
                                "stromness",
                                "kirkwall-pier",
                                "rack-six",
                                "reading-store",
                                "lima-dispatch",
                                "pickup",
                                "callao",
                                "bare-one",
                                "ride-core")),
                "read: " + knownNames());
    }

    @Test
    public void ignoresNamesOfTroubles() {
        assertEquals(
                namesIn(List.of(
                        "name = \"a-site\"  # why",
                        "[net]",
                        "zones = [\"z1\", \"z2\"]",
                        "[[class]]",
                        "name = \"c\"",
                        "[[trouble]]",
                        "name = \"deploy\"",
                        "[[tier.kind]]",
                        "name = \"k\"")),
                Set.of("a-site", "z1", "z2", "c", "k"));
    }

    @DataProvider
    public Object[][] plantedNames() {
        return new Object[][] {
            {"episode-list", "if (name.equals(\"episode-list\")) {"},
            {"episode-list", "static final int EPISODE_LIST = 1;"},
            {"episode-list", "boolean isEpisodeList(int requestClass) {"},
            {"resume-save", "/** As for a resume save. */"},
            {"donation", "// Donations are not sent again."},
            {"donation", "final class DonationJournal {"},
            {"seorim", "case \"seorim\" -> 3;"},
            {"gen-b", "double speed = kind.equals(\"gen-b\") ? 2 : 1;"},
            {"stromness", "Map.of(\"stromness\", 0.16)"},
            {"record", "case \"record\" -> 1;"},
            {"order", "request(\"/order/7\")"},
            {"order", "\"class=order\""},
            {"cut-off", "name.equals(\"cut-off\")"},
        };
    }

    @Test(dataProvider = "plantedNames")
    public void findsAPlantedName(String name, String text) throws IOException {
        assertTrue(knownNames().contains(name), name + " is not known");
        assertTrue(Text.of(text).contains(name), name + " is not found in " + text);
    }

    @DataProvider
    public Object[][] ordinaryTexts() {
        return new Object[][] {
            {"record", "record Head(String id, int requestClass) {"},
            {"order", "/** In the order of arrival. */ private final Order order;"},
            {"order", "throw new IllegalStateException(\"out of order\");"},
            {"order", "String a = \"x\" + order + \"y\";"},
            {"cut-off", "connection.cutOff(); // cut off"},
            {"reading", "void reading() {"},
            {"gen-a", "int generation = genAll;"},
            {"lib-parma", "library"},
        };
    }

    @Test(dataProvider = "ordinaryTexts")
    public void doesNotFindANameInOrdinaryText(String name, String text) {
        assertFalse(Text.of(text).contains(name), name + " is found in " + text);
    }

    /** A text in which names are searched, unchanged and split by {@link #words}. */
    private record Text(String raw, String words) {

        static Text of(String raw) {
            return new Text(raw, words(raw));
        }

        boolean contains(String name) {
            return ORDINARY.contains(name) ? isInLiteral(name) : isAnywhere(name);
        }

        private boolean isInLiteral(String name) {
            return LITERAL.matcher(raw)
                    .results()
                    .flatMap(literal -> Stream.of(literal.group(1).split(SEPARATOR)))
                    .anyMatch(part -> part.strip().equalsIgnoreCase(name));
        }

        private boolean isAnywhere(String name) {
            return Pattern.compile("\\b" + words(name).replace(" ", "s? ") + "s?\\b")
                    .matcher(words)
                    .find();
        }

        /** Returns the words of a text in lower case, separated by single spaces. */
        private static String words(String text) {
            return text.replaceAll("(?<=[a-z0-9])(?=[A-Z])", " ")
                    .toLowerCase(Locale.ROOT)
                    .replaceAll("[^\\p{L}\\p{N}]+", " ")
                    .strip();
        }
    }

    private static Set<String> knownNames() throws IOException {
        Set<String> names = new TreeSet<>(DONGSAN_CATCHUP);
        names.addAll(PADOVA_ARCHIVE);
        for (Path site : siteFiles()) {
            names.addAll(namesIn(Files.readAllLines(site)));
        }
        return names;
    }

    private static Set<String> namesIn(List<String> lines) {
        Set<String> names = new TreeSet<>();
        String section = "";
        for (String line : lines) {
            Matcher heading = SECTION.matcher(line);
            Matcher name = NAME.matcher(line);
            Matcher zones = ZONES.matcher(line);
            if (heading.matches()) {
                section = heading.group(1);
            } else if (name.matches() && !section.equals("trouble")) {
                names.add(name.group(1));
            } else if (zones.matches()) {
                QUOTED.matcher(zones.group(1)).results().forEach(zone -> names.add(zone.group(1)));
            }
        }
        return names;
    }

    private static List<Path> siteFiles() throws IOException {
        List<Path> sites = files(SITES, ".toml");
        assertTrue(sites.size() >= 2, "sites: " + sites);
        return sites;
    }

    private static List<Path> programFiles() throws IOException {
        List<Path> files = new ArrayList<>(files(SOURCES, ""));
        assertTrue(files.size() > 50, "sources: " + files);
        files.add(DEPLOY_FILE);
        return files;
    }

    private static List<Path> files(Path folder, String ending) throws IOException {
        try (Stream<Path> below = Files.walk(folder)) {
            return below.filter(Files::isRegularFile)
                    .filter(file -> file.toString().endsWith(ending))
                    .sorted()
                    .toList();
        }
    }
}
