package peppergauge;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.jar.JarFile;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.hc.core5.http.HttpRequest;
import peppergauge.log.Log;

/**
 * Loads the classes that serving may need before the sidecar serves. A class that cannot be read when it is needed
 * first, because the system lacks descriptors or the disk fails, stays unusable for the life of the process, even if
 * it could be read a moment later.
 */
final class ClassPreloading {

    private static final String CLASS_SUFFIX = ".class";
    private static final String ROOT_PACKAGE = "peppergauge";
    /** The packages of this module, with those below them; classes of the root package are needed, too. */
    private static final Set<String> OWN_PACKAGES = Set.of(
            "backend",
            "coldstart",
            "config",
            "decision",
            "discovery",
            "frontend",
            "http",
            "log",
            "memory",
            "overload",
            "request",
            "settings",
            "sockets");
    /** Used only if assertions are enabled. */
    private static final String INVARIANTS_PACKAGE = "invariant";
    /** The packages of HttpCore that a sidecar uses, without those below them. */
    private static final Set<String> LIBRARY_PACKAGES = Stream.of(
                    "concurrent",
                    "http",
                    "http/impl",
                    "http/impl/nio",
                    "http/message",
                    "http/nio",
                    "io",
                    "net",
                    "reactor",
                    "util")
            .map(name -> "org/apache/hc/core5/" + name)
            .collect(Collectors.toUnmodifiableSet());

    private final String extensionPackage;

    private ClassPreloading(Class<?> extension) {
        extensionPackage = extension.getPackageName().replace('.', '/');
    }

    /**
     * Loads the classes of the sidecar and of an extension, without initializing them; those that cannot be loaded are
     * skipped.
     *
     * @return how many were loaded
     */
    static int loadClasses(Class<?> extension) {
        ClassPreloading preloading = new ClassPreloading(extension);
        int loaded = 0;
        for (Path source : sources(List.of(Sidecar.class, HttpRequest.class, extension))) {
            try {
                for (String file : files(source)) {
                    loaded += preloading.isNeeded(file) && tryLoad(file) ? 1 : 0;
                }
            } catch (IOException unreadable) {
                Log.event("class_preloading_failed", "source", source, "error", unreadable);
            }
        }
        return loaded;
    }

    /** Returns the jars or folders of these classes. */
    private static Set<Path> sources(List<Class<?>> classes) {
        Set<Path> paths = new LinkedHashSet<>();
        for (Class<?> each : classes) {
            CodeSource code = each.getProtectionDomain().getCodeSource();
            if (code == null) {
                // A class without a file, such as a proxy.
                continue;
            }
            try {
                paths.add(Path.of(code.getLocation().toURI()));
            } catch (URISyntaxException malformed) {
                Log.event("class_preloading_failed", "source", code.getLocation(), "error", malformed);
            }
        }
        return paths;
    }

    private static List<String> files(Path source) throws IOException {
        if (Files.isDirectory(source)) {
            try (Stream<Path> all = Files.walk(source)) {
                return all.map(file -> source.relativize(file).toString()).toList();
            }
        }
        try (JarFile jar = new JarFile(source.toFile())) {
            return jar.stream().map(entry -> entry.getName()).toList();
        }
    }

    private boolean isNeeded(String file) {
        if (!file.endsWith(CLASS_SUFFIX)) {
            return false;
        }
        String folder = file.substring(0, Math.max(0, file.lastIndexOf('/')));
        boolean isOfExtension = !extensionPackage.equals(ROOT_PACKAGE)
                && (folder.equals(extensionPackage) || folder.startsWith(extensionPackage + '/'));
        return isOfExtension || isOwnPackage(folder) || LIBRARY_PACKAGES.contains(folder);
    }

    private static boolean isOwnPackage(String folder) {
        String[] names = folder.split("/");
        if (!names[0].equals(ROOT_PACKAGE) || names.length == 1) {
            return names[0].equals(ROOT_PACKAGE);
        }
        return OWN_PACKAGES.contains(names[1])
                || names[1].equals(INVARIANTS_PACKAGE) && ClassPreloading.class.desiredAssertionStatus();
    }

    private static boolean tryLoad(String file) {
        String name = file.substring(0, file.length() - CLASS_SUFFIX.length()).replace('/', '.');
        try {
            Class.forName(name, false, ClassPreloading.class.getClassLoader());
            return true;
        } catch (ClassNotFoundException | LinkageError unavailable) {
            // It needs an optional library, which is not there, and so is never used.
            return false;
        }
    }
}
