package io.persimmonstack.runtime.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;

/** Pages that a program adds to its admin port, each a JSON list below a path. */
public final class AdminPages {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final Map<String, Function<String, List<? extends Record>>> pages = new ConcurrentSkipListMap<>();

    private AdminPages() {}

    /** Returns pages without any. */
    public static AdminPages empty() {
        return new AdminPages();
    }

    /**
     * Adds a page.
     *
     * @param prefix start of its path, such as {@code /refusals/}
     * @param content elements of the list, by the rest of the path
     */
    public void add(String prefix, Function<String, List<? extends Record>> content) {
        pages.put(prefix, content);
    }

    /** Returns the prefixes of all pages. */
    List<String> prefixes() {
        return List.copyOf(pages.keySet());
    }

    /** Returns the page at a path as JSON, empty where there is none. */
    Optional<String> json(String path) {
        return prefixes().stream()
                .filter(path::startsWith)
                .findFirst()
                .map(prefix -> json(pages.get(prefix).apply(path.substring(prefix.length()))));
    }

    private static String json(List<? extends Record> elements) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(elements) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("records of text and numbers are always JSON", e);
        }
    }
}
