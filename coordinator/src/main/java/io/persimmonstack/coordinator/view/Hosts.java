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
 * Host list as read last, immutable. It lags, so it only decides when to act.
 *
 * @param entries entry hosts by name
 * @param runners runners by name
 * @param services instances of plain services
 * @param everRead whether the list was ever read
 */
public record Hosts(Map<String, Host> entries, Map<String, Host> runners, List<Host> services, boolean everRead) {
    /** Copies the collections. */
    public Hosts {
        entries = Map.copyOf(entries);
        runners = Map.copyOf(runners);
        services = List.copyOf(services);
    }

    /** Returns the list before it was read. */
    public static Hosts notReadYet() {
        return new Hosts(Map.of(), Map.of(), List.of(), false);
    }

    /** Returns the list of the given hosts. */
    public static Hosts of(List<Host> hosts) {
        List<Host> services =
                hosts.stream().filter(host -> host.kind() == HostKind.SERVICE).toList();
        return new Hosts(byName(hosts, HostKind.ENTRY), byName(hosts, HostKind.RUNNER), services, true);
    }

    private static Map<String, Host> byName(List<Host> hosts, HostKind kind) {
        return hosts.stream()
                .filter(host -> host.kind() == kind)
                .collect(Collectors.toMap(Host::name, Function.identity(), (first, last) -> last));
    }

    /** Returns the runner's entry, if it is listed. */
    public Optional<Host> runner(String name) {
        return Optional.ofNullable(runners.get(name));
    }

    /** Returns whether the list says that a runner leaves or is gone; one that is not listed does neither. */
    public boolean runnerIsLeavingOrGone(String name) {
        return runner(name).filter(host -> host.state() != HostState.LIVE).isPresent();
    }

    /** Returns whether the list says that a runner is gone. */
    public boolean runnerIsGone(String name) {
        return runner(name).filter(host -> host.state() == HostState.GONE).isPresent();
    }

    /** Returns the addresses of the coordinators that are not gone. */
    public List<String> coordinatorAddresses() {
        return entries.values().stream()
                .filter(host -> host.state() != HostState.GONE)
                .map(host -> host.address().toString())
                .toList();
    }
}
