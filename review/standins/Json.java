import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(Object... keysAndValues) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            object.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return object;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parse(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> object, String field) {
        return (List<Map<String, Object>>) object.getOrDefault(field, List.of());
    }

    static long number(Map<String, Object> object, String field, long otherwise) {
        return object.get(field) instanceof Number number ? number.longValue() : otherwise;
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        return switch (c) {
            case '{' -> readObject();
            case '[' -> readArray();
            case '"' -> readString();
            case 't' -> literal("true", Boolean.TRUE);
            case 'f' -> literal("false", Boolean.FALSE);
            case 'n' -> literal("null", null);
            default -> readNumber();
        };
    }

    private Object literal(String word, Object value) {
        at += word.length();
        return value;
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Map<String, Object> readObject() {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            String key = readString();
            skipSpace();
            at++;
            object.put(key, value());
            skipSpace();
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
        }
        at++;
        return object;
    }

    private List<Object> readArray() {
        List<Object> list = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            list.add(value());
            skipSpace();
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
        }
        at++;
        return list;
    }

    private String readString() {
        StringBuilder string = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> string.append('\n');
                    case 't' -> string.append('\t');
                    case 'r' -> string.append('\r');
                    case 'u' -> {
                        string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> string.append(escaped);
                }
            } else {
                string.append(c);
            }
        }
        at++;
        return string.toString();
    }

    private Number readNumber() {
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(start, at);
        return number.matches("-?\\d+") ? (Number) Long.parseLong(number) : (Number) Double.parseDouble(number);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    write(out, entry.getKey());
                    out.append(':');
                    write(out, entry.getValue());
                    separator = ",";
                }
                out.append('}');
            }
            case Iterable<?> list -> {
                out.append('[');
                String separator = "";
                for (Object element : list) {
                    out.append(separator);
                    write(out, element);
                    separator = ",";
                }
                out.append(']');
            }
            case String string -> {
                out.append('"');
                for (char c : string.toCharArray()) {
                    if (c == '"' || c == '\\') {
                        out.append('\\').append(c);
                    } else if (c < ' ') {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
                out.append('"');
            }
            default -> out.append(value);
        }
    }
}
