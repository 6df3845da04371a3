package io.persimmonstack.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/** Source of bytes all of whose reads go through {@link #read(ByteBuffer)}, so that a subclass sees each byte. */
public abstract class BufferSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Creates a source of the bytes of another one. */
    protected BufferSourceConduit(StreamSourceConduit source) {
        super(source);
    }

    @Override
    public abstract int read(ByteBuffer target) throws IOException;

    @Override
    public final long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public final long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public final long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }
}
