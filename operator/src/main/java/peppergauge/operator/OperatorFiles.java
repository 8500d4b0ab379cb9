package peppergauge.operator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads and validates operator files of a fixed set of kinds. Immutable; thread-safe if its sections are. */
public final class OperatorFiles {

    /** Operator files take some KiB, and the parser needs many times the size of a file in memory. */
    static final int MAX_FILE_BYTES = 1 << 20;

    private final List<FileKind> kinds;

    public OperatorFiles(List<FileKind> kinds) {
        this.kinds = List.copyOf(kinds);
    }

    public List<FileKind> kinds() {
        return kinds;
    }

    public Optional<FileKind> kind(String name) {
        return kinds.stream().filter(kind -> kind.name().equals(name)).findFirst();
    }

    /** Reads a file. A missing, unreadable or invalid file gives a result with problems, not an exception. */
    public ReadResult read(Path path) {
        String file = path.toString();
        byte[] bytes;
        try (var in = Files.newInputStream(path)) {
            bytes = in.readNBytes(MAX_FILE_BYTES + 1);
        } catch (IOException unreadable) {
            return failure(SourceLocation.wholeFile(file), "cannot be read: " + unreadable);
        }
        if (bytes.length > MAX_FILE_BYTES) {
            return failure(SourceLocation.wholeFile(file), "is longer than " + MAX_FILE_BYTES + " bytes");
        }
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer out = CharBuffer.allocate(bytes.length + 1);
        try {
            var result = decoder.decode(in, out, true);
            if (result.isError()) {
                result.throwException();
            }
            return read(file, out.flip().toString());
        } catch (CharacterCodingException invalidUtf8) {
            int line = 1
                    + (int) IntStream.range(0, in.position())
                            .filter(i -> bytes[i] == '\n')
                            .count();
            return failure(SourceLocation.wholeLine(file, line), "is not UTF-8 from here on");
        }
    }

    /**
     * Reads the text of a file.
     *
     * @param file the file's name, for the locations of problems
     */
    public ReadResult read(String file, String text) {
        TomlParseResult toml;
        try {
            toml = Toml.parse(text);
        } catch (StackOverflowError deepNesting) {
            // The parser recurses for each bracket and overflows the stack after some hundred.
            SourceLocation location = SourceLocation.wholeLine(file, lineWithMostBrackets(text));
            return failure(location, "brackets are nested too deeply");
        }
        Problems problems = new Problems();
        Optional<FileKind> kind = readKind(file, toml, problems);
        Optional<Values> values = kind.map(known -> new TableReader(file, problems, !toml.hasErrors())
                .read(known.rootTable(), toml, SourceLocation.startOf(file), ""));
        if (toml.hasErrors()) {
            return ReadResult.of(kind, values, syntaxProblems(file, toml, problems));
        }
        if (problems.isEmpty()) {
            kind.orElseThrow().sections().forEach(section -> section.check(values.orElseThrow(), problems));
        }
        return ReadResult.of(kind, values, problems);
    }

    private Optional<FileKind> readKind(String file, TomlParseResult toml, Problems problems) {
        Type<String> kindName = Types.oneOf(kinds.stream().map(FileKind::name).toArray(String[]::new));
        List<String> keyPath = List.of(FileKind.KIND_KEY);
        Object value = toml.get(keyPath);
        if (value == null) {
            if (!toml.hasErrors()) {
                problems.addMissing(SourceLocation.startOf(file), FileKind.KIND_KEY, kindName.allowed());
            }
            return Optional.empty();
        }
        SourceLocation location = SourceLocation.of(file, toml.inputPositionOf(keyPath));
        return kindName.read(new RawValue(value, location, FileKind.KIND_KEY, problems))
                .flatMap(this::kind);
    }

    /**
     * Returns the syntax errors, and the schema errors on lines before the first of them. After a syntax error the
     * parser may assign keys to the wrong table or miss them, so that later schema errors could be false.
     */
    private static Problems syntaxProblems(String file, TomlParseResult toml, Problems schemaProblems) {
        int firstErrorLine = toml.errors().stream()
                .mapToInt(error -> error.position().line())
                .min()
                .orElse(0);
        Problems reported = new Problems();
        schemaProblems.sorted().stream()
                .filter(problem -> problem.location().line() < firstErrorLine)
                .forEach(problem -> reported.add(problem.location(), problem.key(), problem.message()));
        for (TomlParseError error : toml.errors()) {
            reported.add(SourceLocation.of(file, error.position()), "", error.getMessage());
        }
        return reported;
    }

    private static int lineWithMostBrackets(String text) {
        List<String> lines = text.lines().toList();
        return 1
                + IntStream.range(0, lines.size())
                        .boxed()
                        .max(Comparator.comparingLong(i -> lines.get(i)
                                .chars()
                                .filter(c -> c == '[' || c == '{')
                                .count()))
                        .orElse(0);
    }

    private static ReadResult failure(SourceLocation location, String message) {
        Problems problems = new Problems();
        problems.add(location, "", message);
        return ReadResult.of(Optional.empty(), Optional.empty(), problems);
    }
}
