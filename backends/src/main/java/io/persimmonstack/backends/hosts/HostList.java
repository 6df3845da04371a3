package io.persimmonstack.backends.hosts;

import java.util.List;

/** Reads the platform's host list, which may lag behind the actual state by seconds. */
public interface HostList {
    /**
     * Reads the list.
     *
     * @return all hosts, including those that are leaving or gone
     * @throws HostListException if the service returned no usable response
     */
    List<Host> hosts() throws HostListException;
}
