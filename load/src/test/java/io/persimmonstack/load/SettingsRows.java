package io.persimmonstack.load;

import io.persimmonstack.runtime.settings.Setting;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Generates the rows that a documented table of settings must have, without the column of meanings. */
final class SettingsRows {
    private SettingsRows() {}

    static List<String> of(Class<? extends Record> type) {
        List<String> rows = new ArrayList<>();
        addRows(type, "", rows);
        return rows;
    }

    private static void addRows(Class<?> type, String prefix, List<String> rows) {
        for (RecordComponent component : type.getRecordComponents()) {
            Optional<Setting> setting = Optional.ofNullable(component.getAnnotation(Setting.class));
            Type element = elementType(component.getGenericType());
            boolean isList = component.getType() == List.class;
            String key = prefix + component.getName();
            String unit = (isList ? "list of " : "") + unit((Class<?>) element, component.getName(), setting);
            rows.add(
                    "`" + key + "` | " + unit + " | " + bounds(setting, isList) + " | " + fallback(component, setting));
            if (((Class<?>) element).isRecord()) {
                addRows((Class<?>) element, key + (isList ? "[]." : "."), rows);
            }
        }
    }

    private static Type elementType(Type type) {
        return type instanceof ParameterizedType generic ? generic.getActualTypeArguments()[0] : type;
    }

    private static String unit(Class<?> type, String name, Optional<Setting> setting) {
        if (type.isRecord()) {
            return "object";
        }
        if (type == boolean.class) {
            return "true or false";
        }
        if (type == String.class) {
            return setting.map(Setting::form).filter(form -> !form.isEmpty()).orElse("text");
        }
        if (name.endsWith("BytesPerSecond") || name.equals("bytesPerSecond")) {
            return "bytes/s";
        }
        if (name.endsWith("PerSecond")) {
            return "1/s";
        }
        if (name.endsWith("Bytes") || name.equals("bytes")) {
            return "bytes";
        }
        if (name.endsWith("Minutes")) {
            return "min";
        }
        return name.endsWith("Ms") ? "ms" : "number";
    }

    private static String bounds(Optional<Setting> setting, boolean isList) {
        long min = setting.map(Setting::min).orElse(Long.MIN_VALUE);
        long max = setting.map(Setting::max).orElse(Long.MAX_VALUE);
        if (min == Long.MIN_VALUE && max == Long.MAX_VALUE) {
            return "any";
        }
        return (max == Long.MAX_VALUE ? "at least " + min : min + " to " + max) + (isList ? " elements" : "");
    }

    private static String fallback(RecordComponent component, Optional<Setting> setting) {
        if (component.getType() == Optional.class) {
            return "absent";
        }
        String fallback = setting.map(Setting::fallback).orElse("");
        return fallback.isEmpty() ? "required" : "`" + fallback + "`";
    }
}
