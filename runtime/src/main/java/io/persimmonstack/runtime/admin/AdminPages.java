package io.persimmonstack.runtime.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;

/** Registry of the JSON pages that a program adds to its admin port. Thread-safe. */
public final class AdminPages {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final Map<String, Function<String, List<? extends Record>>> pages = new ConcurrentSkipListMap<>();

    private AdminPages() {}

    /** Returns a registry without pages. */
    public static AdminPages empty() {
        return new AdminPages();
    }

    /**
     * Adds a page, or replaces the one with the same prefix.
     *
     * @param prefix path prefix of the page, such as {@code /refusals/}
     * @param content returns the elements of the JSON list for the rest of the path
     */
    public void add(String prefix, Function<String, List<? extends Record>> content) {
        pages.put(prefix, content);
    }

    /** Returns the path prefixes of all pages in alphabetical order. */
    List<String> prefixes() {
        return List.copyOf(pages.keySet());
    }

    /** Returns the page at a path as JSON, or empty where no prefix matches. */
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
            throw new IllegalStateException("cannot write the records of an admin page as JSON", e);
        }
    }
}
