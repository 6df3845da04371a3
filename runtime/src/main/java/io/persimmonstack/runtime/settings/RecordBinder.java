package io.persimmonstack.runtime.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.runtime.NearestMatch;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Binds a JSON tree to nested records by component name. Errors name the path of the offending key. */
final class RecordBinder {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** File or other origin of the JSON, for error messages. */
    private final String source;

    private RecordBinder(String source) {
        this.source = source;
    }

    /** Returns a binder that names the given source in its errors. */
    static RecordBinder from(String source) {
        return new RecordBinder(source);
    }

    /**
     * Binds a JSON object to a record.
     *
     * @param root JSON object
     * @param type record class
     * @param <S> type of the record
     * @return the record
     * @throws SettingsException if a key is unknown or missing, or a value has the wrong type or is out of bounds
     */
    <S extends Record> S bind(JsonNode root, Class<S> type) throws SettingsException {
        return type.cast(bindRecord(root, type, ""));
    }

    private Object bindRecord(JsonNode node, Class<?> type, String path) throws SettingsException {
        if (!node.isObject()) {
            throw unexpectedValue(path, node, "an object");
        }
        RecordComponent[] components = type.getRecordComponents();
        rejectUnknownKeys(node, components, path);
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            values[i] = bindComponent(node, components[i], childPath(path, components[i].getName()));
        }
        return construct(type, components, values, path);
    }

    private void rejectUnknownKeys(JsonNode node, RecordComponent[] components, String path) throws SettingsException {
        List<String> known =
                Arrays.stream(components).map(RecordComponent::getName).toList();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw new SettingsException(source + ": " + childPath(path, name) + ": unknown key; expected one of "
                        + String.join(", ", known) + NearestMatch.hint(name, known));
            }
        }
    }

    private Object bindComponent(JsonNode parent, RecordComponent component, String path) throws SettingsException {
        Optional<Setting> setting = Optional.ofNullable(component.getAnnotation(Setting.class));
        JsonNode node = parent.get(component.getName());
        if (node == null || node.isNull()) {
            if (component.getType() == Optional.class) {
                return Optional.empty();
            }
            node = parseFallback(setting, path);
        }
        return bindValue(node, component.getGenericType(), setting, path);
    }

    /** Returns the fallback of a key that is absent, or throws if the key is required. */
    private JsonNode parseFallback(Optional<Setting> setting, String path) throws SettingsException {
        String text = setting.map(Setting::fallback).orElse("");
        if (text.isEmpty()) {
            throw new SettingsException(source + ": " + path + ": missing; the key is required");
        }
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    source + ": " + path + ": fallback '" + text + "' of the setting is not valid JSON", e);
        }
    }

    private Object bindValue(JsonNode node, Type type, Optional<Setting> setting, String path)
            throws SettingsException {
        if (type instanceof ParameterizedType generic) {
            return bindGeneric(node, generic, setting, path);
        }
        Class<?> rawType = (Class<?>) type;
        if (rawType.isRecord()) {
            return bindRecord(node, rawType, path);
        }
        if (rawType.isEnum()) {
            return bindEnum(node, rawType, path);
        }
        return bindScalar(node, rawType, setting, path);
    }

    private Object bindGeneric(JsonNode node, ParameterizedType type, Optional<Setting> setting, String path)
            throws SettingsException {
        Type[] arguments = type.getActualTypeArguments();
        if (type.getRawType() == Optional.class) {
            return Optional.of(bindValue(node, arguments[0], setting, path));
        }
        if (type.getRawType() == List.class) {
            return bindList(node, arguments[0], setting, path);
        }
        TreeMap<String, Object> map = new TreeMap<>();
        if (!node.isObject()) {
            throw unexpectedValue(path, node, "an object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            map.put(name, bindValue(node.get(name), arguments[1], Optional.empty(), childPath(path, name)));
        }
        return map;
    }

    private List<Object> bindList(JsonNode node, Type element, Optional<Setting> setting, String path)
            throws SettingsException {
        if (!node.isArray()) {
            throw unexpectedValue(path, node, "a list");
        }
        checkBounds(BigDecimal.valueOf(node.size()), setting, path, " elements");
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            list.add(bindValue(node.get(i), element, elementSetting(setting), path + "[" + i + "]"));
        }
        return List.copyOf(list);
    }

    /** Returns the setting for list elements. Only its form applies to them; its bounds limit the list size. */
    private static Optional<Setting> elementSetting(Optional<Setting> setting) {
        return setting.filter(s -> !s.form().isEmpty());
    }

    /** Binds a constant written in lower case with hyphens, such as {@code mostly-off} for {@code MOSTLY_OFF}. */
    private Object bindEnum(JsonNode node, Class<?> type, String path) throws SettingsException {
        List<String> names = Arrays.stream(type.getEnumConstants())
                .map(constant ->
                        constant.toString().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
                .toList();
        int index = node.isTextual() ? names.indexOf(node.textValue()) : -1;
        if (index < 0) {
            throw new SettingsException(source + ": " + path + ": " + node + "; expected one of "
                    + String.join(", ", names) + NearestMatch.hint(node.asText(), names));
        }
        return type.getEnumConstants()[index];
    }

    private Object bindScalar(JsonNode node, Class<?> type, Optional<Setting> setting, String path)
            throws SettingsException {
        if (type == String.class) {
            return bindText(node, setting, path);
        }
        if (type == boolean.class) {
            if (!node.isBoolean()) {
                throw unexpectedValue(path, node, "true or false");
            }
            return node.booleanValue();
        }
        if (type == double.class) {
            if (!node.isNumber()) {
                throw unexpectedValue(path, node, "a number");
            }
            checkBounds(node.decimalValue(), setting, path, "");
            return node.doubleValue();
        }
        if (type == int.class || type == long.class) {
            return bindInteger(node, type, setting, path);
        }
        throw new IllegalStateException("unsupported type of a settings key: " + type);
    }

    private Object bindInteger(JsonNode node, Class<?> type, Optional<Setting> setting, String path)
            throws SettingsException {
        boolean inRange =
                node.isIntegralNumber() && (type == int.class ? node.canConvertToInt() : node.canConvertToLong());
        if (!inRange) {
            throw unexpectedValue(path, node, "a whole number");
        }
        checkBounds(node.decimalValue(), setting, path, "");
        if (type == int.class) {
            return node.intValue();
        }
        return node.longValue();
    }

    private String bindText(JsonNode node, Optional<Setting> setting, String path) throws SettingsException {
        if (!node.isTextual()) {
            throw unexpectedValue(path, node, "text");
        }
        String form = setting.map(Setting::form).orElse("");
        if (!AddressForm.matches(form, node.textValue())) {
            throw unexpectedValue(path, node, AddressForm.describe(form));
        }
        return node.textValue();
    }

    /** Rejects a number, or a list size in the given unit, that is out of the bounds of its setting. */
    private void checkBounds(BigDecimal value, Optional<Setting> setting, String path, String unit)
            throws SettingsException {
        if (setting.isEmpty()) {
            return;
        }
        long min = setting.get().min();
        long max = setting.get().max();
        if (value.compareTo(BigDecimal.valueOf(min)) < 0 || value.compareTo(BigDecimal.valueOf(max)) > 0) {
            throw new SettingsException(
                    source + ": " + path + ": " + value + unit + "; expected " + describeRange(min, max));
        }
    }

    private static String describeRange(long min, long max) {
        if (max == Long.MAX_VALUE) {
            return "at least " + min;
        }
        return min == Long.MIN_VALUE ? "at most " + max : min + " to " + max;
    }

    private Object construct(Class<?> type, RecordComponent[] components, Object[] values, String path)
            throws SettingsException {
        Class<?>[] componentTypes =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            var constructor = type.getDeclaredConstructor(componentTypes);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            throw new SettingsException(source + ": " + path + ": " + cause.getMessage(), cause);
        }
    }

    /** Returns the error for a value of the wrong type or form at a path; the empty path is the top level. */
    private SettingsException unexpectedValue(String path, JsonNode node, String expected) {
        String shownPath = path.isEmpty() ? "top level" : path;
        return new SettingsException(source + ": " + shownPath + ": " + node + "; expected " + expected);
    }

    private static String childPath(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
