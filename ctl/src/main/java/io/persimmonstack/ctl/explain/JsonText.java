package io.persimmonstack.ctl.explain;

import com.fasterxml.jackson.databind.JsonNode;
import io.persimmonstack.runtime.TextTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats a JSON object for operators: a line for each field, a table for each list of flat objects. */
public final class JsonText {
    private JsonText() {}

    /** Returns the text of an object. */
    public static String of(JsonNode object) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            append(text, field.getKey(), field.getValue());
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, JsonNode value) {
        if (!value.isArray()) {
            text.append(label(name)).append(": ").append(flat(value)).append('\n');
        } else if (isTable(value)) {
            text.append(table(value));
        } else {
            value.forEach(element -> text.append('\n').append(of(element)));
        }
    }

    private static boolean isTable(JsonNode list) {
        for (JsonNode element : list) {
            for (JsonNode field : element) {
                if (field.isContainerNode()) {
                    return false;
                }
            }
        }
        return !list.isEmpty();
    }

    private static String table(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.get(0).fieldNames().forEachRemaining(names::add);
        TextTable table = TextTable.of(
                names.stream().map(name -> label(name).toUpperCase(Locale.ROOT)).toArray(String[]::new));
        list.forEach(row ->
                table.row(names.stream().map(name -> flat(row.path(name))).toArray()));
        return table.text();
    }

    private static String flat(JsonNode value) {
        if (!value.isObject()) {
            return value.asText();
        }
        List<String> parts = new ArrayList<>();
        value.properties().forEach(field -> parts.add(label(field.getKey()) + " " + flat(field.getValue())));
        return String.join(", ", parts);
    }

    private static String label(String name) {
        return name.replace('_', ' ');
    }
}
