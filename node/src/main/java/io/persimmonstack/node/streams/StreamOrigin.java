package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.RunnerProcess;
import java.util.Optional;

/**
 * Where a stream began. Events of two software versions do not fit together, so it goes on only there.
 *
 * @param service service whose runner sent the first event
 * @param softwareVersion version of that runner's software, by its entry
 * @param process process that the entry described, empty if it is not known
 */
public record StreamOrigin(String service, String softwareVersion, Optional<RunnerProcess> process) {
    /** Creates an origin whose process is not known. */
    public StreamOrigin(String service, String softwareVersion) {
        this(service, softwareVersion, Optional.empty());
    }
}
