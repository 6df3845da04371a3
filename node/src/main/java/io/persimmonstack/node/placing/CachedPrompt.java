package io.persimmonstack.node.placing;

/**
 * Runner that probably caches the start of a prompt.
 *
 * @param runner identifier of the runner
 * @param tokens length of the cached start, in tokens
 */
record CachedPrompt(String runner, long tokens) {}
