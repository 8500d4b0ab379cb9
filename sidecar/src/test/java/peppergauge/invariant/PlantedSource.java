package peppergauge.invariant;

import java.io.File;
import java.io.IOException;
import java.io.StringWriter;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Plants a fault in a copy of one source file of the present module, and runs a load over the program with it, with
 * assertions on: all classes of the program are loaded anew, and the faulty ones before the sound ones.
 *
 * @param file under {@code src/main/java/peppergauge}
 * @param sound what stands there, once, in any layout
 * @param faulty what stands there in its place
 */
public record PlantedSource(String file, String sound, String faulty) {

    private static final Pattern TOKEN = Pattern.compile("\\w+|[^\\w\\s]");
    private static final Pattern WORD = Pattern.compile("\\w+");

    /**
     * Fails unless the fault is found.
     *
     * @param load a class with a method {@code run(long seed)} that throws what does not hold
     * @param seeds how many at the most
     * @param says what is to be said of it
     */
    public void mustBeFound(String load, int seeds, String says) throws IOException, ReflectiveOperationException {
        Throwable found = find(load, seeds);
        if (found == null || !String.valueOf(found.getMessage()).contains(says)) {
            throw new AssertionError(file + " without " + sound + ": found was " + found, found);
        }
    }

    private Throwable find(String load, int seeds) throws IOException, ReflectiveOperationException {
        Path classes = Files.createTempDirectory("planted");
        try (URLClassLoader planted = new URLClassLoader(compile(classes), ClassLoader.getPlatformClassLoader())) {
            planted.setDefaultAssertionStatus(true);
            var run = planted.loadClass(load).getMethod("run", long.class);
            for (long seed = 1; seed <= seeds; seed++) {
                try {
                    run.invoke(null, seed);
                } catch (InvocationTargetException broken) {
                    return broken.getCause();
                }
            }
            return null;
        } finally {
            try (Stream<Path> made = Files.walk(classes)) {
                made.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private URL[] compile(Path classes) throws IOException {
        compileInto(classes, Path.of("src", "main", "java", "peppergauge"));
        List<URL> urls = new ArrayList<>(List.of(url(classes)));
        for (String each : path().split(File.pathSeparator)) {
            urls.add(url(Path.of(each)));
        }
        return urls.toArray(URL[]::new);
    }

    private static String path() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /**
     * Compiles the copy with the fault; a program that has its classes first on its path runs with it.
     *
     * @param classes a folder
     * @param sources the folder of the file, for a module that is not the present one
     */
    public void compileInto(Path classes, Path sources) throws IOException {
        Path source = sources.resolve(file);
        String text = Files.readString(source);
        Matcher found = anyLayout(sound).matcher(text);
        if (found.results().count() != 1) {
            throw new AssertionError(file + " does not have once: " + sound);
        }
        Path copy = classes.resolve(source.getFileName());
        Files.writeString(copy, found.replaceFirst(Matcher.quoteReplacement(faulty)));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter said = new StringWriter();
        var files = compiler.getStandardFileManager(null, Locale.ROOT, null);
        if (!compiler.getTask(
                        said,
                        files,
                        null,
                        List.of("-nowarn", "-proc:none", "-cp", path(), "-d", classes.toString()),
                        null,
                        files.getJavaFileObjects(copy))
                .call()) {
            throw new AssertionError(file + " with its fault does not compile: " + said);
        }
    }

    /** Matches the given source text however the formatter lays it out: white space counts only between two words. */
    static Pattern anyLayout(String text) {
        StringBuilder pattern = new StringBuilder();
        String before = "";
        Matcher token = TOKEN.matcher(text);
        while (token.find()) {
            if (!before.isEmpty()) {
                boolean words = WORD.matcher(before).matches()
                        && WORD.matcher(token.group()).matches();
                pattern.append(words ? "\\s+" : "\\s*");
            }
            before = token.group();
            pattern.append(Pattern.quote(before));
        }
        return Pattern.compile(pattern.toString());
    }

    private static URL url(Path path) throws MalformedURLException {
        return path.toUri().toURL();
    }
}
