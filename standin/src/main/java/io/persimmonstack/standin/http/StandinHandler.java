package io.persimmonstack.standin.http;

import java.io.IOException;

/** Handles the HTTP exchanges of one port. */
public interface StandinHandler {
    /**
     * Handles one exchange. Runs on a virtual thread and may block.
     *
     * @param exchange request and response
     * @throws IOException if the connection fails, or to close it without a response
     * @throws InterruptedException if the server stops
     */
    void handle(StandinExchange exchange) throws IOException, InterruptedException;
}
