package io.persimmonstack.coordinator.view;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostKind;
import io.persimmonstack.backends.hosts.HostState;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Immutable copy of the host list as last read. It may lag behind the fleet, so it only decides when to act.
 *
 * @param entries entry hosts, which run a coordinator and a router, by name
 * @param runners runners by name
 * @param services instances of plain services
 * @param everRead false before the first successful read of the list
 */
public record HostListSnapshot(
        Map<String, Host> entries, Map<String, Host> runners, List<Host> services, boolean everRead) {
    /** Copies the collections, so that the list is immutable. */
    public HostListSnapshot {
        entries = Map.copyOf(entries);
        runners = Map.copyOf(runners);
        services = List.copyOf(services);
    }

    /** Returns the empty list that is in use before the first read. */
    public static HostListSnapshot notReadYet() {
        return new HostListSnapshot(Map.of(), Map.of(), List.of(), false);
    }

    /** Groups the given hosts by kind; of several with the same kind and name the last one is kept. */
    public static HostListSnapshot of(List<Host> hosts) {
        List<Host> services =
                hosts.stream().filter(host -> host.kind() == HostKind.SERVICE).toList();
        return new HostListSnapshot(byName(hosts, HostKind.ENTRY), byName(hosts, HostKind.RUNNER), services, true);
    }

    private static Map<String, Host> byName(List<Host> hosts, HostKind kind) {
        return hosts.stream()
                .filter(host -> host.kind() == kind)
                .collect(Collectors.toMap(Host::name, Function.identity(), (first, last) -> last));
    }

    /** Returns the entry of a runner, or empty if it is not listed. */
    public Optional<Host> runner(String name) {
        return Optional.ofNullable(runners.get(name));
    }

    /** Returns whether a runner is listed as leaving or gone; false if it is not listed. */
    public boolean runnerIsLeavingOrGone(String name) {
        return runner(name).filter(host -> host.state() != HostState.LIVE).isPresent();
    }

    /** Returns whether a runner is listed as gone; false if it is not listed. */
    public boolean runnerIsGone(String name) {
        return runner(name).filter(host -> host.state() == HostState.GONE).isPresent();
    }

    /** Returns the coordinator addresses (ip:port) of the entry hosts that are not gone. */
    public List<String> coordinatorAddresses() {
        return entries.values().stream()
                .filter(host -> host.state() != HostState.GONE)
                .map(host -> host.address().toString())
                .toList();
    }
}
