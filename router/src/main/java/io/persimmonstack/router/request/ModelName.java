package io.persimmonstack.router.request;

import java.util.Optional;

/**
 * Model name in a chat completion request: {@code model}, {@code model@version}, {@code model+adapter} or
 * {@code model@version+adapter}.
 *
 * @param model name of the model
 * @param version version; if absent, the first version of the deployment is used
 * @param adapter adapter to apply to the model, if any
 */
public record ModelName(String model, Optional<String> version, Optional<String> adapter) {
    /** Returns the name in the form in which callers send it. */
    public String text() {
        return model
                + version.map(text -> '@' + text).orElse("")
                + adapter.map(text -> '+' + text).orElse("");
    }

    /**
     * Parses a name.
     *
     * @param text text to parse
     * @return the name, or empty if the model is empty or a separator is followed by no version or adapter
     */
    public static Optional<ModelName> parse(String text) {
        int plus = text.indexOf('+');
        String base = plus < 0 ? text : text.substring(0, plus);
        int at = base.indexOf('@');
        String model = at < 0 ? base : base.substring(0, at);
        Optional<String> version = at < 0 ? Optional.empty() : Optional.of(base.substring(at + 1));
        Optional<String> adapter = plus < 0 ? Optional.empty() : Optional.of(text.substring(plus + 1));
        boolean empty = model.isEmpty()
                || version.filter(String::isEmpty).isPresent()
                || adapter.filter(String::isEmpty).isPresent();
        return empty ? Optional.empty() : Optional.of(new ModelName(model, version, adapter));
    }
}
