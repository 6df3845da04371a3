package io.persimmonstack.node.config;

/**
 * Share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route, not negative
 */
public record ServiceShare(String service, double weight) {}
