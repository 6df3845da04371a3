package io.persimmonstack.backends.hosts;

import java.util.List;

/** List of hosts as the platform knows them; it lags by seconds. */
public interface HostList {
    /**
     * Reads the list.
     *
     * @return all hosts
     * @throws HostListException if the service gave no usable answer
     */
    List<Host> hosts() throws HostListException;
}
