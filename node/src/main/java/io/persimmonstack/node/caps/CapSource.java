package io.persimmonstack.node.caps;

import io.persimmonstack.node.config.UsageCap;
import java.util.Optional;

/** Caps of the configuration that this node knows. */
public interface CapSource {
    /** Returns whether any workspace has a cap; otherwise caps cause no calls, messages or keys. */
    boolean hasCaps();

    /** Returns the cap of a workspace, empty if it has none or is not known. */
    Optional<UsageCap> capOf(String workspace);
}
