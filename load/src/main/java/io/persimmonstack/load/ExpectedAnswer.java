package io.persimmonstack.load;

/**
 * What a whole answer to one request looks like: the stand-in engine repeats the prompt and counts its tokens.
 *
 * @param prompt text that no other request bears
 * @param tokenCount number of tokens asked for
 */
record ExpectedAnswer(String prompt, int tokenCount) {
    private static final int MAX_LOGGED_CHARACTERS = 120;

    RequestOutcome outcomeOf(String content, long firstByteMs) {
        StringBuilder expected = new StringBuilder("echo:").append(prompt);
        for (int i = 1; i < tokenCount; i++) {
            expected.append(" t").append(i);
        }
        return content.contentEquals(expected)
                ? new RequestOutcome.Complete(firstByteMs)
                : new RequestOutcome.Incorrect(
                        "'" + shorten(content) + "'; expected '" + shorten(expected.toString()) + "'");
    }

    private static String shorten(String text) {
        return text.length() <= MAX_LOGGED_CHARACTERS ? text : text.substring(0, MAX_LOGGED_CHARACTERS) + "…";
    }
}
