package peppergauge.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Checks that exactly the tests that {@code KNOWN-RED.txt} names are excluded from builds, that each case of the review
 * is either named there or has a regression test that runs, and its entries' form.
 */
public class KnownRedTest {

    private static final Path ROOT = Path.of("..");
    /** An annotation with the excluded group, by any spelling of its attribute, and the name of the method under it. */
    private static final Pattern EXCLUDED_TEST = Pattern.compile("@Test\\([^)]*\"known-"
            + "red\"[^)]*\\)\\s*(?:@\\w+(?:\\([^)]*\\))?\\s*)*" + "(?:public\\s+)?void\\s+(\\w+)");

    /** {@code Class.method: what was seen, with the command; issue N}. */
    private static final Pattern ENTRY =
            Pattern.compile("(\\w+\\.\\w+): .{20,}; mvn .*-Dtest=.*; issue \\d+", Pattern.DOTALL);

    private static final String REVIEW_PREFIX = "review/";
    /** {@code review/N: what was seen; review/N/run.sh; issue N}. */
    private static final Pattern REVIEW_ENTRY =
            Pattern.compile("(review/\\d+): .{20,}; \\1/run\\.sh; issue \\d+", Pattern.DOTALL);

    /** A doc comment that names a case of the review, and the annotation and method of the test under it. */
    private static final Pattern REGRESSION_TEST = Pattern.compile(
            "/\\*\\*(?:(?!\\*/).)*?\\b(review/\\d+)\\b(?:(?!\\*/).)*\\*/\\s*"
                    + "(@Test(?:\\([^)]*\\))?)\\s*(?:public )?void \\w+",
            Pattern.DOTALL);

    @Test
    public void excludedTestsAreExactlyThoseListed() throws IOException {
        SortedSet<String> listed = new TreeSet<>();
        for (String entry : testEntries()) {
            listed.add(name(entry));
        }
        assertEquals(excludedTests(), listed, "tests of the group known-" + "red");
    }

    /** A case is listed until its fault is fixed; from then on a test that runs in each build names it. */
    @Test
    public void reviewCasesAreEitherListedOrNamedByARegressionTest() throws IOException {
        SortedSet<String> covered = new TreeSet<>(regressionTestedCases());
        for (String entry : entries()) {
            if (entry.startsWith(REVIEW_PREFIX)) {
                assertTrue(covered.add(name(entry)), "listed twice, or fixed and listed: " + entry);
                assertTrue(
                        REVIEW_ENTRY.matcher(entry).matches(),
                        "expected review/N: seen; review/N/run.sh; issue N: " + entry);
            }
        }
        assertEquals(reviewCases(), covered, "cases of the review with a script run.sh");
    }

    @Test
    public void entriesNameTestObservationCommandAndIssue() throws IOException {
        for (String entry : testEntries()) {
            assertTrue(ENTRY.matcher(entry).matches(), "expected Class.method: seen; mvn command; issue N: " + entry);
        }
    }

    /** An annotation in another form would be excluded from builds without being found by this test. */
    @Test
    public void groupIsNamedInAnnotationsOfTestsOnly() throws IOException {
        int named = 0;
        for (Path source : testSources()) {
            named += Files.readString(source).split("\"known-" + "red\"", -1).length - 1;
        }
        assertEquals(named, excludedTests().size(), "places that name the group in test sources");
    }

    private static List<String> entries() throws IOException {
        return Files.readAllLines(ROOT.resolve("KNOWN-RED.txt")).stream()
                .filter(line -> !line.isBlank())
                .toList();
    }

    private static List<String> testEntries() throws IOException {
        return entries().stream()
                .filter(entry -> !entry.startsWith(REVIEW_PREFIX))
                .toList();
    }

    private static String name(String entry) {
        return entry.substring(0, Math.max(0, entry.indexOf(':')));
    }

    /** The folders of the review that have a script, by the names under which they are listed. */
    private static SortedSet<String> reviewCases() throws IOException {
        SortedSet<String> cases = new TreeSet<>();
        Path review = ROOT.resolve("review");
        if (Files.isDirectory(review)) {
            try (Stream<Path> folders = Files.list(review)) {
                folders.filter(folder -> Files.isRegularFile(folder.resolve("run.sh")))
                        .forEach(folder -> cases.add(REVIEW_PREFIX + folder.getFileName()));
            }
        }
        return cases;
    }

    /** The cases of the review that are named by tests that are not excluded from builds. */
    private static SortedSet<String> regressionTestedCases() throws IOException {
        SortedSet<String> cases = new TreeSet<>();
        for (Path source : testSources()) {
            Matcher matcher = REGRESSION_TEST.matcher(Files.readString(source));
            while (matcher.find()) {
                if (!matcher.group(2).contains("known-" + "red")) {
                    cases.add(matcher.group(1));
                }
            }
        }
        return cases;
    }

    private static SortedSet<String> excludedTests() throws IOException {
        SortedSet<String> excluded = new TreeSet<>();
        for (Path source : testSources()) {
            String className = source.getFileName().toString().replace(".java", "");
            Matcher matcher = EXCLUDED_TEST.matcher(Files.readString(source));
            while (matcher.find()) {
                excluded.add(className + "." + matcher.group(1));
            }
        }
        return excluded;
    }

    private static List<Path> testSources() throws IOException {
        try (Stream<Path> files =
                Files.find(ROOT, 20, (path, attributes) -> path.toString().matches(".*/src/test/java/.*\\.java"))) {
            return files.toList();
        }
    }
}
