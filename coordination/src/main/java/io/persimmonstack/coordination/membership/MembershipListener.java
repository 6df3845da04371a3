package io.persimmonstack.coordination.membership;

/** Receives notifications of changes after they took effect, on the thread that caused them. */
public interface MembershipListener {
    /** Listener that ignores everything. */
    MembershipListener NONE = new MembershipListener() {
        @Override
        public void changed() {}

        @Override
        public void configurationAnnounced(long version, String address) {}

        @Override
        public void superseded(long incarnation) {}
    };

    /** Called when a member entry or a runner state has changed. */
    void changed();

    /**
     * Called when a member has announced the version of its newest configuration.
     *
     * @param version version of the configuration
     * @param address address of the member
     */
    void configurationAnnounced(long version, String address);

    /**
     * Called when a process with a higher incarnation runs under this node's name. May be called repeatedly.
     *
     * @param incarnation incarnation of the other process
     */
    void superseded(long incarnation);
}
