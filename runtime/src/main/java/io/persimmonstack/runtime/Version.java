package io.persimmonstack.runtime;

import java.util.Optional;

/** Version of the product, as recorded by the build. */
public final class Version {
    private Version() {}

    /** Returns the packaged version, or {@code development} when run from compiled classes. */
    public static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
