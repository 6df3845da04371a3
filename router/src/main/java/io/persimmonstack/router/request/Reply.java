package io.persimmonstack.router.request;

import java.util.List;

/**
 * Sends the answer to one caller. Methods that send bytes block until the connection has accepted them or a time limit
 * has passed, so that a slow caller causes back-pressure.
 */
public interface Reply {
    /**
     * HTTP header of an answer.
     *
     * @param name name of the header
     * @param value its value
     */
    record Header(String name, String value) {}

    /**
     * Sends a complete answer.
     *
     * @param status HTTP status
     * @param headers headers, except those that the HTTP server sets itself
     * @param body whole body
     * @throws CallerGoneException if the caller has left or does not accept the bytes within the time limit
     */
    void whole(int status, List<Header> headers, byte[] body) throws CallerGoneException;

    /**
     * Begins a streamed answer.
     *
     * @param status HTTP status
     * @param headers headers, except those that the HTTP server sets itself
     */
    void begin(int status, List<Header> headers);

    /**
     * Sends a part of a streamed answer.
     *
     * @param part bytes to send
     * @throws CallerGoneException if the caller has left or does not accept the bytes within the time limit
     */
    void write(byte[] part) throws CallerGoneException;

    /**
     * Completes a streamed answer.
     *
     * @throws CallerGoneException if the caller has left
     */
    void end() throws CallerGoneException;

    /** Closes the connection, so that the caller does not mistake a partial answer for a complete one. */
    void abort();

    /** Returns whether the answer has begun, so that its status can no longer be chosen. */
    boolean begun();

    /**
     * Registers an action to run if the caller leaves before its answer has ended.
     *
     * @param action run at most once, on another thread; must not block
     */
    void onCallerGone(Runnable action);
}
