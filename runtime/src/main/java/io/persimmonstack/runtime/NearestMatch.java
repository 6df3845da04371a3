package io.persimmonstack.runtime;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggests the valid name closest to a mistyped one, for "did you mean" hints in error messages. */
public final class NearestMatch {
    /** Most edits between a mistyped name and its suggestion; short names allow at most half their length. */
    private static final int MAX_DISTANCE = 3;

    private NearestMatch() {}

    /**
     * Returns the valid name with the smallest edit distance: at most three edits, and at most half of the valid name's
     * length (at least one). Letter case is ignored; of equally close names the alphabetically first is returned.
     *
     * @param mistyped name that is not among the candidates
     * @param candidates valid names
     * @return the closest name, or empty where none is close enough
     */
    public static Optional<String> of(String mistyped, Collection<String> candidates) {
        return candidates.stream()
                .filter(name -> distance(mistyped, name) <= Math.min(MAX_DISTANCE, Math.max(1, name.length() / 2)))
                .min(Comparator.comparingInt((String name) -> distance(mistyped, name))
                        .thenComparing(name -> name));
    }

    /**
     * Returns a hint to append to an error message.
     *
     * @param mistyped name that is not among the candidates
     * @param candidates valid names
     * @return {@code "; did you mean 'x'?"} or an empty string where no name is close enough
     */
    public static String hint(String mistyped, Collection<String> candidates) {
        return of(mistyped, candidates)
                .map(name -> "; did you mean '" + name + "'?")
                .orElse("");
    }

    /** Returns the Levenshtein distance between two texts, ignoring letter case; if it is too large, any such value. */
    private static int distance(String a, String b) {
        int lengthDifference = Math.abs(a.length() - b.length());
        if (lengthDifference > MAX_DISTANCE) {
            return lengthDifference;
        }
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitute = diagonal + (lower(a, i) == lower(b, j) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitute, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }

    private static char lower(String text, int oneBased) {
        return Character.toLowerCase(text.charAt(oneBased - 1));
    }
}
