package io.persimmonstack.backends.hosts;

/** State of a host. */
public enum HostState {
    /** The host is in service. */
    LIVE,
    /** The host accepts no new work and will be removed soon. */
    LEAVING,
    /** The host has been removed; nothing runs on it any more. */
    GONE
}
