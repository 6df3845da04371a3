package io.persimmonstack.standin.http;

/**
 * Port to listen on and the handler of its exchanges.
 *
 * @param port TCP port, 0 for any free port
 * @param handler handler of all exchanges of the port
 */
public record StandinPort(int port, StandinHandler handler) {}
