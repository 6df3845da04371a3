package io.persimmonstack.router.request;

import io.persimmonstack.router.snapshot.Target;
import java.util.Optional;

/**
 * Where an answer comes from. What two software versions generate does not fit together, so a stream goes on only at
 * the version that sent its first token. A version that is not known is equal to none, not even to another unknown one.
 *
 * @param target target that answered
 * @param softwareVersion version of the process that answered, empty if it is not known
 */
public record StreamOrigin(Target target, Optional<String> softwareVersion) {
    private static final String UNKNOWN = "unknown";

    /**
     * Returns whether a stream that began here may go on at a target.
     *
     * @param candidate target that would go on
     * @param candidateVersion software version of that target, empty if it is not known
     */
    public boolean fits(Target candidate, Optional<String> candidateVersion) {
        if (softwareVersion.isPresent() || candidateVersion.isPresent()) {
            return softwareVersion.equals(candidateVersion);
        }
        return candidate.id().equals(target.id()) && candidate.address().equals(target.address());
    }

    /** Returns a name that is the same for all streams that may go on at the same targets. */
    public String name() {
        return softwareVersion
                .map(version -> "software version " + version)
                .orElse("target " + target.id() + " at " + target.address());
    }

    /** Returns the version for log lines. */
    public String versionText() {
        return text(softwareVersion);
    }

    /** Returns a version for log lines. */
    public static String text(Optional<String> version) {
        return version.orElse(UNKNOWN);
    }
}
