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
 * Plants a fault in a copy of one source file of the current module, and runs a load test against the faulty program
 * with assertions enabled. A separate class loader loads all classes of the program, and the faulty ones first.
 *
 * @param file path of the source file, under {@code src/main/java/peppergauge}
 * @param sound source text that occurs exactly once in the file, in any layout
 * @param faulty source text that replaces it
 */
public record PlantedSource(String file, String sound, String faulty) {

    private static final Pattern TOKEN = Pattern.compile("\\w+|[^\\w\\s]");
    private static final Pattern WORD = Pattern.compile("\\w+");

    /**
     * Fails unless the load test detects the fault with the expected message.
     *
     * @param load name of a class with a method {@code run(long seed)}, which throws if a check fails
     * @param seeds maximum number of seeds
     * @param expectedMessage text that the message of the failure must contain
     */
    public void mustBeFound(String load, int seeds, String expectedMessage)
            throws IOException, ReflectiveOperationException {
        Throwable failure = find(load, seeds);
        if (failure == null || !String.valueOf(failure.getMessage()).contains(expectedMessage)) {
            throw new AssertionError(
                    file + " with a fault in " + sound + ": expected a failure with " + expectedMessage + " but was "
                            + failure,
                    failure);
        }
    }

    /** The failure of the first seed that detects the fault; null if no seed does. */
    private Throwable find(String load, int seeds) throws IOException, ReflectiveOperationException {
        Path classes = Files.createTempDirectory("planted");
        try (URLClassLoader planted = new URLClassLoader(compile(classes), ClassLoader.getPlatformClassLoader())) {
            planted.setDefaultAssertionStatus(true);
            var run = planted.loadClass(load).getMethod("run", long.class);
            for (long seed = 1; seed <= seeds; seed++) {
                try {
                    run.invoke(null, seed);
                } catch (InvocationTargetException failure) {
                    return failure.getCause();
                }
            }
            return null;
        } finally {
            try (Stream<Path> files = Files.walk(classes)) {
                files.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private URL[] compile(Path classes) throws IOException {
        compileInto(classes, Path.of("src", "main", "java", "peppergauge"));
        List<URL> urls = new ArrayList<>(List.of(url(classes)));
        for (String entry : classPath().split(File.pathSeparator)) {
            urls.add(url(Path.of(entry)));
        }
        return urls.toArray(URL[]::new);
    }

    private static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /**
     * Compiles the faulty copy. A program with {@code classes} first on its class path runs with the fault.
     *
     * @param classes folder for the compiled classes
     * @param sources folder that contains {@code file}
     */
    public void compileInto(Path classes, Path sources) throws IOException {
        Path source = sources.resolve(file);
        String text = Files.readString(source);
        Matcher match = anyLayout(sound).matcher(text);
        if (match.results().count() != 1) {
            throw new AssertionError(file + ": expected to contain exactly once: " + sound);
        }
        Path copy = classes.resolve(source.getFileName());
        Files.writeString(copy, match.replaceFirst(Matcher.quoteReplacement(faulty)));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter output = new StringWriter();
        var files = compiler.getStandardFileManager(null, Locale.ROOT, null);
        if (!compiler.getTask(
                        output,
                        files,
                        null,
                        List.of("-nowarn", "-proc:none", "-cp", classPath(), "-d", classes.toString()),
                        null,
                        files.getJavaFileObjects(copy))
                .call()) {
            throw new AssertionError(file + " with the fault does not compile: " + output);
        }
    }

    /** A pattern for the given source text in any layout: white space is significant only between two words. */
    static Pattern anyLayout(String text) {
        StringBuilder pattern = new StringBuilder();
        String previous = "";
        Matcher token = TOKEN.matcher(text);
        while (token.find()) {
            if (!previous.isEmpty()) {
                boolean areWords = WORD.matcher(previous).matches()
                        && WORD.matcher(token.group()).matches();
                pattern.append(areWords ? "\\s+" : "\\s*");
            }
            previous = token.group();
            pattern.append(Pattern.quote(previous));
        }
        return Pattern.compile(pattern.toString());
    }

    private static URL url(Path path) throws MalformedURLException {
        return path.toUri().toURL();
    }
}
