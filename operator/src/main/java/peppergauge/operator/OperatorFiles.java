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

/** Reads files of the kinds that it was given. */
public final class OperatorFiles {

    /** Bytes; an operator's file is some KiB, and the parser holds many times its size. */
    static final int MOST_BYTES = 1 << 20;

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

    /** Never throws for what the file holds, or for its absence: both are problems. */
    public ReadResult read(Path path) {
        String file = path.toString();
        byte[] bytes;
        try (var in = Files.newInputStream(path)) {
            bytes = in.readNBytes(MOST_BYTES + 1);
        } catch (IOException unreadable) {
            return refused(new Place(file, 0, 0), "cannot be read: " + unreadable);
        }
        if (bytes.length > MOST_BYTES) {
            return refused(new Place(file, 0, 0), "is longer than " + MOST_BYTES + " bytes");
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
        } catch (CharacterCodingException notText) {
            int line = 1
                    + (int) IntStream.range(0, in.position())
                            .filter(i -> bytes[i] == '\n')
                            .count();
            return refused(new Place(file, line, 0), "is not UTF-8 from here on");
        }
    }

    /** @param file its name, for the problems */
    public ReadResult read(String file, String text) {
        TomlParseResult toml;
        try {
            toml = Toml.parse(text);
        } catch (StackOverflowError nested) {
            // The parser descends once for each bracket; some hundred are beyond it.
            return refused(new Place(file, mostBrackets(text), 0), "brackets are nested too deeply");
        }
        Problems problems = new Problems();
        Optional<FileKind> kind = kind(file, toml, problems);
        Optional<Values> values = kind.map(known -> new TableReader(file, problems, !toml.hasErrors())
                .read(known.table(), toml, new Place(file, 1, 1), ""));
        if (toml.hasErrors()) {
            return ReadResult.of(kind, values, broken(file, toml, problems));
        }
        if (problems.isEmpty()) {
            kind.orElseThrow().sections().forEach(section -> section.check(values.orElseThrow(), problems));
        }
        return ReadResult.of(kind, values, problems);
    }

    private Optional<FileKind> kind(String file, TomlParseResult toml, Problems problems) {
        List<String> known = kinds.stream().map(FileKind::name).toList();
        Object named = toml.get(List.of("kind"));
        Type<String> oneOfThem = Types.oneOf(known.toArray(String[]::new));
        if (named == null) {
            if (!toml.hasErrors()) {
                problems.add(new Place(file, 1, 1), "kind", "is missing; it must be " + oneOfThem.allowed());
            }
            return Optional.empty();
        }
        return oneOfThem
                .read(new RawValue(named, Places.of(file, toml.inputPositionOf(List.of("kind"))), "kind", problems))
                .flatMap(this::kind);
    }

    /**
     * What is wrong with a text that is no TOML. After the first such error the parser may take keys for another
     * table's, and think keys missing: of what the schema says, only what stands before it is told.
     */
    private static Problems broken(String file, TomlParseResult toml, Problems bySchema) {
        int first = toml.errors().stream()
                .mapToInt(error -> error.position().line())
                .min()
                .orElse(0);
        Problems told = new Problems();
        bySchema.sorted().stream()
                .filter(problem -> problem.place().line() < first)
                .forEach(problem -> told.add(problem.place(), problem.key(), problem.message()));
        for (TomlParseError error : toml.errors()) {
            told.add(Places.of(file, error.position()), "", error.getMessage());
        }
        return told;
    }

    private static int mostBrackets(String text) {
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

    private static ReadResult refused(Place place, String message) {
        Problems problems = new Problems();
        problems.add(place, "", message);
        return ReadResult.of(Optional.empty(), Optional.empty(), problems);
    }
}
