package io.persimmonstack.wire;

import io.persimmonstack.wire.LinkLimits.LinkRefusal;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TEndpointTransport;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * Server's end of a connection with frames in both directions. Memory for a frame grows with the bytes that arrive, and
 * is taken from {@link LinkConnections}. Used by the thread of the connection; other threads read its state and close
 * its socket.
 */
final class LinkTransport extends TEndpointTransport {
    static final int MAX_FRAME_BYTES = 16 << 20;
    /** Longest time without a frame; clients close pooled connections earlier. */
    static final int IDLE_TIMEOUT_MS = 60_000;

    private static final byte[] NO_FRAME = new byte[0];
    private static final int FIRST_BYTES = 4 * 1024;
    private static final int ANSWER_BYTES = 512;
    private static final int HEADER_BYTES = Integer.BYTES;
    /** Time for a frame or an answer, to which each {@link #BYTES_PER_MS} bytes add a millisecond. */
    private static final int TRANSFER_TIMEOUT_MS = 5_000;

    private static final int BYTES_PER_MS = 64;
    private static final long NANOS_PER_MS = 1_000_000;

    private final TSocket socket;
    private final Socket rawSocket;
    private final LinkConnections connections;
    private final TMemoryInputTransport frame = new TMemoryInputTransport(NO_FRAME);
    private ByteArrayOutputStream answer = new ByteArrayOutputStream(ANSWER_BYTES);
    /** Guarded by {@link #connections}. */
    private long heldBytes;

    private volatile State state = State.IDLE;
    private volatile long stateNanos = System.nanoTime();
    /** Bytes of the frame that have arrived, or of the answer. */
    private volatile int transferredBytes;

    private enum State {
        /** Between frames. */
        IDLE,
        /** A part of a frame has arrived. */
        RECEIVING,
        /** A call is decoded and served. */
        SERVING,
        /** An answer is being written. */
        ANSWERING
    }

    /**
     * Creates the transport of an accepted connection.
     *
     * @param socket accepted connection
     * @param rawSocket its TCP socket, which can be closed without waiting for a writer
     * @param connections all connections of the server
     */
    LinkTransport(TSocket socket, Socket rawSocket, LinkConnections connections) throws TTransportException {
        super(TConfiguration.DEFAULT);
        this.socket = socket;
        this.rawSocket = rawSocket;
        this.connections = connections;
    }

    boolean isIdle() {
        return state == State.IDLE;
    }

    /** Returns whether a frame or an answer is on its way. */
    boolean isTransferring() {
        return state == State.RECEIVING || state == State.ANSWERING;
    }

    boolean isIdleForTooLong() {
        return isIdle() && ageMs() > IDLE_TIMEOUT_MS;
    }

    /** Returns the time in the present state, in milliseconds. */
    long ageMs() {
        return (System.nanoTime() - stateNanos) / NANOS_PER_MS;
    }

    long heldBytes() {
        return heldBytes;
    }

    void setHeldBytes(long bytes) {
        heldBytes = bytes;
    }

    /** Returns the reason to close the connection if its frame or answer takes too long. */
    Optional<LinkRefusal> overdue() {
        State present = state;
        boolean late = ageMs() > TRANSFER_TIMEOUT_MS + transferredBytes / BYTES_PER_MS;
        return switch (present) {
            case IDLE, SERVING -> Optional.empty();
            case RECEIVING -> late ? Optional.of(LinkRefusal.FRAME_TIMEOUT) : Optional.empty();
            case ANSWERING -> late ? Optional.of(LinkRefusal.ANSWER_TIMEOUT) : Optional.empty();
        };
    }

    private void enter(State newState, int bytes) {
        transferredBytes = bytes;
        stateNanos = System.nanoTime();
        state = newState;
    }

    /** Closes the TCP socket, so that the thread of the connection ends. */
    void closeSocket() {
        try {
            rawSocket.close();
        } catch (IOException e) {
            // The socket is closed all the same.
        }
    }

    @Override
    public boolean isOpen() {
        return socket.isOpen();
    }

    @Override
    public void open() throws TTransportException {
        throw new TTransportException(TTransportException.ALREADY_OPEN, "accepted connection");
    }

    @Override
    public void close() {
        connections.remove(this);
        closeSocket();
        socket.close();
    }

    @Override
    public int read(byte[] target, int offset, int length) {
        throw new UnsupportedOperationException("frames are read by " + LinkProtocol.class.getSimpleName());
    }

    /** Returns the bytes of the frame that has arrived last; the same object for each frame. */
    TMemoryInputTransport frame() {
        return frame;
    }

    /** Waits until the next frame has arrived. */
    void receiveFrame() throws TTransportException {
        endCall();
        byte[] header = new byte[HEADER_BYTES];
        socket.readAll(header, 0, 1);
        enter(State.RECEIVING, 1);
        socket.readAll(header, 1, HEADER_BYTES - 1);
        int size = ByteBuffer.wrap(header).getInt();
        if (size <= 0 || size > MAX_FRAME_BYTES) {
            throw refuse(LinkRefusal.FRAME_TOO_LARGE, "frame of " + size + " bytes");
        }
        byte[] received = NO_FRAME;
        int count = 0;
        while (count < size) {
            if (count == received.length) {
                received = grow(received, size);
            }
            int added = socket.read(received, count, received.length - count);
            if (added <= 0) {
                throw new TTransportException(TTransportException.END_OF_FILE, "connection ended within a frame");
            }
            count += added;
            transferredBytes = count;
        }
        frame.reset(received);
        // Bounds the strings that the protocol allocates before it reads them.
        frame.updateKnownMessageSize(size);
        enter(State.SERVING, size);
    }

    /** Doubles the array of a frame up to its size; the old one is held until it has been copied. */
    private byte[] grow(byte[] received, int size) throws TTransportException {
        int newBytes = Math.min(size, Math.max(FIRST_BYTES, 2 * received.length));
        hold((long) received.length + newBytes, true, "frame of " + size + " bytes");
        byte[] grown = Arrays.copyOf(received, newBytes);
        hold(newBytes, true, "frame of " + size + " bytes");
        return grown;
    }

    /**
     * Reserves memory for decoded objects, in addition to the frame.
     *
     * @param decodedBytes memory of all objects of this frame so far, in bytes
     */
    void holdDecoded(long decodedBytes) throws TTransportException {
        int size = frame.getBuffer().length;
        hold(size + decodedBytes, false, "objects of a frame of " + size + " bytes");
    }

    private void hold(long bytes, boolean alone, String what) throws TTransportException {
        if (!connections.hold(this, bytes, alone)) {
            throw refuse(LinkRefusal.MEMORY, "no memory for " + what);
        }
    }

    /** Returns an exception that ends the connection; its type keeps the server from logging each one. */
    TTransportException refuse(LinkRefusal refusal, String text) {
        connections.refused(this, refusal);
        return new TTransportException(TTransportException.END_OF_FILE, text);
    }

    private void endCall() {
        frame.reset(NO_FRAME);
        connections.hold(this, 0, false);
        enter(State.IDLE, 0);
    }

    @Override
    public void write(byte[] source, int offset, int length) {
        answer.write(source, offset, length);
    }

    @Override
    public void flush() throws TTransportException {
        byte[] body = answer.toByteArray();
        answer = new ByteArrayOutputStream(ANSWER_BYTES);
        frame.reset(NO_FRAME);
        enter(State.ANSWERING, body.length);
        hold(body.length, true, "answer of " + body.length + " bytes");
        byte[] header = ByteBuffer.allocate(HEADER_BYTES).putInt(body.length).array();
        socket.write(header, 0, HEADER_BYTES);
        socket.write(body, 0, body.length);
        socket.flush();
        endCall();
    }
}
