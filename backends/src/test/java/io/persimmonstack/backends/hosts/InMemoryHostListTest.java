package io.persimmonstack.backends.hosts;

import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;

class InMemoryHostListTest extends HostListContract {
    private final InMemoryHostList list = InMemoryHostList.of(
            host("entry-1", HostKind.ENTRY, "10.0.0.1:17401", Optional.empty()),
            host("runner-1", HostKind.RUNNER, "10.0.0.2:17201", Optional.empty()),
            host("desk-1", HostKind.SERVICE, "10.0.0.3:17301", Optional.of("desk")));

    private static Host host(String name, HostKind kind, String address, Optional<String> service) {
        PeerAddress parsed = PeerAddress.parse(address);
        return new Host(name, kind, HostState.LIVE, parsed, "zone-a", "cairo", service, kind == HostKind.RUNNER);
    }

    @Override
    protected HostList list() {
        return list;
    }

    @Override
    protected void setState(String host, HostState state) {
        list.setState(host, state);
    }

    @Override
    protected void takeDown() {
        list.setDown(true);
    }
}
