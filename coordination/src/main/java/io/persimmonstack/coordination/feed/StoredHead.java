package io.persimmonstack.coordination.feed;

/**
 * Configuration head with its store revision, which is the precondition of the next commit.
 *
 * @param head decoded head
 * @param revision store revision at which the head was last written
 */
public record StoredHead(ConfigurationHead head, long revision) {}
