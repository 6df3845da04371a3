package io.persimmonstack.runtime.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against values of clients that fill the queue of the log, or its output. */
class LoggedValuesTest {
    private static final String LONG = "x".repeat(15_400);
    private static final int MAX_WITH_LENGTH = LoggedValues.MAX_CHARACTERS + 40;

    @Test
    void shortValuesStayAsTheyAre() {
        Object[] values = {"text", 7, true, null, new IllegalStateException("short")};
        assertSame(values, LoggedValues.shortened(values));
    }

    @Test
    void longTextIsCutAndTellsItsLength() {
        Object[] values = {"text", LONG, new StringBuilder(LONG)};
        Object[] shortened = LoggedValues.shortened(values);
        assertEquals("text", shortened[0]);
        assertTrue(shortened[1].toString().endsWith("... (15400 characters)"));
        assertTrue(shortened[2].toString().length() <= MAX_WITH_LENGTH);
        assertSame(LONG, values[1]);
    }

    @Test
    void messagesOfAThrowableAndItsCausesAreCut() {
        Exception thrown = new IllegalStateException("outer", new IllegalArgumentException(LONG));
        Throwable shortened = (Throwable) LoggedValues.shortened(new Object[] {thrown})[0];
        assertEquals("java.lang.IllegalStateException: outer", shortened.getMessage());
        assertTrue(shortened.getCause().getMessage().length() <= MAX_WITH_LENGTH);
        assertEquals(thrown.getStackTrace()[0], shortened.getStackTrace()[0]);
    }
}
