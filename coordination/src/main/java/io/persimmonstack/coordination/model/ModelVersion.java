package io.persimmonstack.coordination.model;

import java.util.Objects;

/**
 * Version of a base model. Each replica of a model version occupies one slot; the replica cap of a model counts the
 * replicas of all its versions.
 *
 * @param model model name, non-empty and without {@code @} and {@code /}
 * @param version version name, non-empty and without {@code @} and {@code /}
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion>, java.io.Serializable {
    private static final char SEPARATOR = '@';

    /**
     * Validates the names.
     *
     * @throws IllegalArgumentException if a name is empty or contains {@code @} or {@code /}
     */
    public ModelVersion {
        requireName("model", model);
        requireName("version", version);
    }

    /** Returns the model version with the given names. */
    public static ModelVersion of(String model, String version) {
        return new ModelVersion(model, version);
    }

    /**
     * Parses the form {@code model@version}.
     *
     * @param text text to parse
     * @return the parsed model version
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static ModelVersion parse(String text) {
        int at = text.indexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException("'" + text + "': expected model@version");
        }
        return of(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public int compareTo(ModelVersion other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return model + SEPARATOR + version;
    }

    private static void requireName(String argument, String value) {
        Objects.requireNonNull(value, argument);
        if (value.isEmpty() || value.indexOf(SEPARATOR) >= 0 || value.indexOf('/') >= 0) {
            throw new IllegalArgumentException(
                    argument + " '" + value + "': expected a non-empty name without '@' and '/'");
        }
    }
}
