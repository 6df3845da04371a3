package io.persimmonstack.runtime.event;

/**
 * Bounds the length of logged values, of which peers choose some: a queue of events is bounded in their number, and the
 * output of each takes time.
 */
public final class LoggedValues {
    /** Longest value that is logged whole, in characters. */
    public static final int MAX_CHARACTERS = 400;

    private static final int MAX_CAUSES = 4;

    private LoggedValues() {}

    /** Returns a text, cut and with its length if it is long. */
    public static String shortened(String text) {
        return text.length() <= MAX_CHARACTERS
                ? text
                : text.substring(0, MAX_CHARACTERS) + "... (" + text.length() + " characters)";
    }

    /** Returns the values to log: as they are, but for long texts, and throwables with long messages. */
    static Object[] shortened(Object... values) {
        Object[] result = values;
        for (int i = 0; i < values.length; i++) {
            Object shortened = shortened(values[i]);
            if (shortened != values[i]) {
                result = result == values ? values.clone() : result;
                result[i] = shortened;
            }
        }
        return result;
    }

    private static Object shortened(Object value) {
        return switch (value) {
            case null -> null;
            case Throwable thrown -> hasLongMessage(thrown) ? ShortenedThrowable.of(thrown, MAX_CAUSES) : thrown;
            case Number number -> number;
            case Boolean truth -> truth;
            default -> shortenedText(value);
        };
    }

    private static Object shortenedText(Object value) {
        String text = value.toString();
        return text != null && text.length() > MAX_CHARACTERS ? shortened(text) : value;
    }

    private static boolean hasLongMessage(Throwable thrown) {
        int causes = 0;
        for (Throwable cause = thrown; cause != null && causes <= MAX_CAUSES; cause = cause.getCause()) {
            if (cause.getMessage() != null && cause.getMessage().length() > MAX_CHARACTERS) {
                return true;
            }
            causes++;
        }
        return false;
    }

    /** Throwable as it is logged: with shortened messages and its own stack trace. */
    private static final class ShortenedThrowable extends Exception {
        private static final long serialVersionUID = 1L;

        private ShortenedThrowable(Throwable thrown, Throwable cause) {
            super(shortened(thrown.toString()), cause);
            setStackTrace(thrown.getStackTrace());
        }

        private static ShortenedThrowable of(Throwable thrown, int maxCauses) {
            Throwable cause = thrown.getCause();
            return new ShortenedThrowable(thrown, cause == null || maxCauses == 0 ? null : of(cause, maxCauses - 1));
        }
    }
}
