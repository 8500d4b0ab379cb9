package peppergauge.lab.admin;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Formats responses of a daemon's admin socket as text. */
public final class AdminResponseFormatter {

    private AdminResponseFormatter() {}

    /** Formats a response: a list of objects becomes a table, any other value one line. */
    public static List<String> format(Map<?, ?> response) {
        List<String> lines = new ArrayList<>();
        response.forEach((key, value) -> {
            if (value instanceof List<?> list
                    && !list.isEmpty()
                    && list.stream().allMatch(Map.class::isInstance)) {
                lines.addAll(table(
                        list.stream().<Map<?, ?>>map(item -> (Map<?, ?>) item).toList()));
            } else if (!"ok".equals(key)) {
                lines.add(key + "  " + text(value));
            }
        });
        return lines;
    }

    private static List<String> table(List<Map<?, ?>> rows) {
        Set<Object> columns = new LinkedHashSet<>();
        rows.forEach(row -> columns.addAll(row.keySet()));
        List<StringBuilder> lines = new ArrayList<>();
        for (int i = 0; i <= rows.size(); i++) {
            lines.add(new StringBuilder());
        }
        for (Object column : columns) {
            lines.get(0).append(column).append("  ");
            for (int i = 0; i < rows.size(); i++) {
                lines.get(i + 1).append(text(rows.get(i).get(column))).append("  ");
            }
            int width = lines.stream().mapToInt(StringBuilder::length).max().orElse(0);
            lines.forEach(line -> line.append(" ".repeat(width - line.length())));
        }
        return lines.stream().map(line -> line.toString().stripTrailing()).toList();
    }

    private static String text(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.isEmpty()
                    ? "-"
                    : String.join(
                            ", ",
                            map.entrySet().stream()
                                    .map(entry -> entry.getKey() + "=" + entry.getValue())
                                    .toList());
        }
        String text = String.valueOf(value);
        return value == null || text.isEmpty() ? "-" : text;
    }
}
