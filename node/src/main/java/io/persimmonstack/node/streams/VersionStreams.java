package io.persimmonstack.node.streams;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.List;

/**
 * Software version of a service that one node knows, with the streams that it has delivered from there lately.
 *
 * @param origin service and software version
 * @param streams keys of the requests that brought the first events
 */
record VersionStreams(StreamOrigin origin, List<Long> streams) {
    /** Copies the list. */
    VersionStreams {
        streams = List.copyOf(streams);
    }

    /** Returns the short form of a request's identifier that is stored. */
    static long key(String request) {
        return RendezvousHash.hash(request);
    }
}
