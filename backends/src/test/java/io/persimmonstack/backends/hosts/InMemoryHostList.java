package io.persimmonstack.backends.hosts;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** In-memory {@link HostList} for tests, whose hosts can be changed. */
public final class InMemoryHostList implements HostList {
    private final Map<String, Host> hosts = new ConcurrentSkipListMap<>();
    private volatile boolean down;

    private InMemoryHostList() {}

    /** Returns a list of the given hosts. */
    public static InMemoryHostList of(Host... hosts) {
        InMemoryHostList list = new InMemoryHostList();
        for (Host host : hosts) {
            list.put(host);
        }
        return list;
    }

    /** Adds or replaces a host. */
    public void put(Host host) {
        hosts.put(host.name(), host);
    }

    /** Changes the state of a host; does nothing if the host is not listed. */
    public void setState(String name, HostState state) {
        hosts.computeIfPresent(
                name,
                (key, host) -> new Host(
                        host.name(),
                        host.kind(),
                        state,
                        host.address(),
                        host.zone(),
                        host.region(),
                        host.service(),
                        host.fencing()));
    }

    /** Makes reads fail for as long as {@code isDown} is set. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    @Override
    public List<Host> hosts() throws HostListException {
        if (down) {
            throw new HostListException("the host list is down");
        }
        return List.copyOf(hosts.values());
    }
}
