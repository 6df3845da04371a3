package io.persimmonstack.node.request;

/**
 * Part of a prompt that other requests may share.
 *
 * @param id identifier of its content
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
