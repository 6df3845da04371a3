package io.persimmonstack.coordination.crash;

/**
 * Answers that one node has seen begin on prompts with a part.
 *
 * @param part identifier of the part
 * @param before number before the node knew of an end with the part, up to a limit
 * @param since number since then, up to a limit
 */
public record PartAnswers(String part, int before, int since) {}
