package io.persimmonstack.node.streams;

/**
 * Where a stream began. Events of two software versions do not fit together, so it goes on only there.
 *
 * @param service service whose runner sent the first event
 * @param softwareVersion version of the software of the process that sent it
 */
public record StreamOrigin(String service, String softwareVersion) {}
