package peppergauge.decision;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.GZIPOutputStream;

/**
 * Replays the recordings of {@link DecisionRecordingTest} and prints in which numbers the answers differ; for a change
 * of the arithmetic that must not change a decision.
 *
 * <p>Usage: {@code RewriteAnswers FOLDER [write]}. It fails, before any file is written, if an answer differs in
 * anything but numbers, or a number by {@link #MAX_RELATIVE_DIFFERENCE} of its size or more. With {@code write}, the
 * answers are then replaced by those of the replay; settings and calls stay as they were recorded.
 */
public final class RewriteAnswers {

    private static final double MAX_RELATIVE_DIFFERENCE = 1e-12;

    private final Map<Path, List<String>> rewritten = new TreeMap<>();
    private final Map<String, Integer> changesByKind = new TreeMap<>();
    private long events;
    private long comparedFields;
    private int changes;
    private double maxDifference;

    private RewriteAnswers() {}

    public static void main(String[] args) throws IOException {
        RewriteAnswers rewrite = new RewriteAnswers();
        List<Path> files;
        try (var found = Files.list(Path.of(args[0]))) {
            files = found.sorted().toList();
        }
        for (Path file : files) {
            rewrite.replay(file);
        }
        rewrite.print(files.size());
        if (args.length > 1 && args[1].equals("write")) {
            rewrite.write();
        }
    }

    private void replay(Path file) throws IOException {
        List<String> lines = DecisionRecording.read(file);
        List<String> anew = new ArrayList<>(lines.subList(0, 1));
        int changesBefore = changes;
        events += DecisionRecording.replay(lines, AdaptiveLoadBalancer::new, (at, call, recorded, answered) -> {
            String place = file.getFileName() + ", line " + (at + 1) + ": " + call;
            if (recorded.size() != answered.size()) {
                throw new AssertionError(place + "\nrecorded " + recorded + "\nanswered " + answered);
            }
            for (int i = 0; i < recorded.size(); i++) {
                compare(
                        place,
                        call.split("\t")[1],
                        recorded.get(i).split("\t", -1),
                        answered.get(i).split("\t", -1));
            }
            anew.add(call);
            anew.addAll(answered);
        });
        if (changes > changesBefore) {
            rewritten.put(file, anew);
        }
    }

    private void compare(String place, String kind, String[] recorded, String[] answered) {
        if (recorded.length != answered.length) {
            throw new AssertionError(place + ": " + recorded.length + " fields became " + answered.length);
        }
        for (int i = 0; i < recorded.length; i++) {
            comparedFields++;
            if (!recorded[i].equals(answered[i])) {
                double difference = relativeDifference(recorded[i], answered[i]);
                if (!(difference < MAX_RELATIVE_DIFFERENCE)) {
                    throw new AssertionError(place + ": " + recorded[i] + " became " + answered[i]);
                }
                changes++;
                changesByKind.merge(kind, 1, Integer::sum);
                maxDifference = Math.max(maxDifference, difference);
            }
        }
    }

    /** The difference of two numbers relative to the greater one; NaN if one is not a number with a point. */
    private static double relativeDifference(String recorded, String answered) {
        if (!recorded.contains(".") || !answered.contains(".")) {
            return Double.NaN;
        }
        try {
            double before = Double.parseDouble(recorded);
            double now = Double.parseDouble(answered);
            return Math.abs(now - before) / Math.max(Math.abs(before), Math.abs(now));
        } catch (NumberFormatException noNumber) {
            return Double.NaN;
        }
    }

    private void print(int files) {
        System.out.printf(
                "%d events of %d recordings, %d fields of answers: %d numbers differ in %d recordings, by call %s,"
                        + " at most by %.2g of their size; nothing else%n",
                events, files, comparedFields, changes, rewritten.size(), changesByKind, maxDifference);
    }

    private void write() throws IOException {
        for (Map.Entry<Path, List<String>> each : rewritten.entrySet()) {
            try (BufferedWriter out = new BufferedWriter(new OutputStreamWriter(
                    new GZIPOutputStream(Files.newOutputStream(each.getKey())), StandardCharsets.UTF_8))) {
                for (String line : each.getValue()) {
                    out.write(line);
                    out.write('\n');
                }
            }
        }
    }
}
