package io.persimmonstack.node.request;

/**
 * Part of a prompt that several requests may have in common, so that a runner may have it cached.
 *
 * @param id identifier of its content, of bounded length; equal for equal content
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
