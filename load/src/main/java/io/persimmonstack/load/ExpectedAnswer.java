package io.persimmonstack.load;

/**
 * Complete answer that the stand-in engine gives to one chat request: {@code echo:} with the prompt as first token,
 * then numbered tokens.
 *
 * @param prompt prompt of the request, unique so that the answer to another request never matches
 * @param tokenCount number of tokens that the request asks for
 */
record ExpectedAnswer(String prompt, int tokenCount) {
    private static final int MAX_LOGGED_CHARACTERS = 120;

    /** Compares the received content with the expected one; a difference is reported with both texts, shortened. */
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
