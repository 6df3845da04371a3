package io.persimmonstack.backends.hosts;

/** What runs on a host. */
public enum HostKind {
    /** Router and coordinator of this system. */
    ENTRY,
    /** Model engine. */
    RUNNER,
    /** Instance of a plain service. */
    SERVICE
}
