package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public class ClassPreloadingTest {

    private static final Path CLASSES = Path.of("target/classes");
    private static final Path ADAPTER = Path.of("peppergauge/adapter");

    /** A loader of the program's classes that tells which it has loaded. */
    private static final class RecordingLoader extends URLClassLoader {

        RecordingLoader(URL[] classPath) {
            super(classPath, ClassLoader.getPlatformClassLoader());
        }

        boolean hasLoaded(String name) {
            return findLoadedClass(name) != null;
        }
    }

    @Test
    public void anExtensionWithoutAClassFileIsSkipped() {
        Object proxy = Proxy.newProxyInstance(
                SidecarExtension.class.getClassLoader(),
                new Class<?>[] {SidecarExtension.class},
                (self, method, arguments) -> null);
        assertTrue(ClassPreloading.loadClasses(proxy.getClass()) > 0);
    }

    private static List<String> classNames() throws IOException {
        try (Stream<Path> files = Files.walk(CLASSES)) {
            return files.map(CLASSES::relativize)
                    .filter(file -> file.toString().endsWith(".class") && !file.startsWith(ADAPTER))
                    .map(file -> file.toString().replace(".class", "").replace('/', '.'))
                    .filter(name -> !name.endsWith("package-info"))
                    .toList();
        }
    }

    private static URL[] classPath() throws IOException {
        List<URL> urls = new ArrayList<>();
        for (String part : System.getProperty("java.class.path").split(":")) {
            urls.add(Path.of(part).toUri().toURL());
        }
        return urls.toArray(URL[]::new);
    }

    /** A class that is needed first while files cannot be read stays unusable; only the simulator's adapter may wait. */
    @Test
    public void allClassesOfTheSidecarAreLoadedBeforeItServes() throws Exception {
        List<String> missing = new ArrayList<>();
        try (RecordingLoader loader = new RecordingLoader(classPath())) {
            // Without assertions, those that check invariants are not needed.
            loader.setDefaultAssertionStatus(true);
            Class<?> preloading = loader.loadClass(ClassPreloading.class.getName());
            var load = preloading.getDeclaredMethod("loadClasses", Class.class);
            load.setAccessible(true);
            load.invoke(null, loader.loadClass(Sidecar.class.getName()));
            for (String name : classNames()) {
                if (!loader.hasLoaded(name)) {
                    missing.add(name);
                }
            }
        }
        assertEquals(missing, List.of());
    }
}
