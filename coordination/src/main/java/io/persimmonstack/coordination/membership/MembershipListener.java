package io.persimmonstack.coordination.membership;

/** Told of changes after they took place, on the thread that brought them. */
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

    /** A member or a runner state changed. */
    void changed();

    /**
     * A member knows a configuration.
     *
     * @param version version that it knows
     * @param address address of the member
     */
    void configurationAnnounced(long version, String address);

    /**
     * A later process runs under this node's name.
     *
     * @param incarnation incarnation of the later process
     */
    void superseded(long incarnation);
}
