package io.persimmonstack.backends.http;

import io.persimmonstack.runtime.http.BufferSourceConduit;
import io.persimmonstack.runtime.http.FramingException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Source of a connection's bytes whose framing is checked before a parser sees them. Passes on the bytes up to the
 * first one that does not fit; later reads fail. Used on the connection's I/O thread.
 */
final class FramingConduit extends BufferSourceConduit {
    private final MessageFraming framing;
    private FramingException failure;

    private FramingConduit(StreamSourceConduit source, MessageFraming framing) {
        super(source);
        this.framing = framing;
    }

    static FramingConduit of(StreamSourceConduit source, MessageFraming framing) {
        return new FramingConduit(source, framing);
    }

    /** Checks bytes that were read earlier, and cuts them before the first one that does not fit. */
    void checkEarlier(ByteBuffer bytes) {
        ByteBuffer unchecked = bytes.duplicate();
        if (!fits(unchecked)) {
            bytes.limit(unchecked.position());
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (failure != null) {
            throw failure;
        }
        int start = target.position();
        int count = next.read(target);
        if (count <= 0) {
            return count;
        }
        ByteBuffer unchecked = target.duplicate().flip().position(start);
        if (!fits(unchecked)) {
            target.position(unchecked.position());
        }
        if (target.position() == start) {
            throw failure;
        }
        if (failure != null) {
            // A parser may wait for more bytes, which the peer need not send.
            next.wakeupReads();
        }
        return target.position() - start;
    }

    private boolean fits(ByteBuffer unchecked) {
        try {
            framing.consume(unchecked);
            return true;
        } catch (FramingException e) {
            failure = e;
            return false;
        }
    }
}
