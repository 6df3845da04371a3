package io.persimmonstack.configuration;

/** Thrown when bytes cannot be decoded as a configuration. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message reason why the bytes are invalid
     * @param cause underlying error
     */
    public ConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
