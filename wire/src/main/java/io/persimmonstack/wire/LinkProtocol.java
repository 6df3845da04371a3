package io.persimmonstack.wire;

import io.persimmonstack.wire.LinkLimits.LinkRefusal;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;

/**
 * Compact protocol of received frames that bounds the objects of each. The base class accepts a list of structs of any
 * length, and generated code allocates it before it reads the first struct.
 */
final class LinkProtocol extends TCompactProtocol {
    /** Memory of an element of a container: its slot, and an object with a few fields. */
    private static final int ELEMENT_BYTES = 64;

    /** Elements whose memory is part of the cost of a call. */
    private static final int FREE_ELEMENTS = 1_024;

    private final LinkTransport transport;
    private long elements;

    LinkProtocol(LinkTransport transport) {
        super(transport.frame());
        this.transport = transport;
    }

    @Override
    public TMessage readMessageBegin() throws TException {
        transport.receiveFrame();
        elements = 0;
        return super.readMessageBegin();
    }

    /** Also called for the head of a set, which has the same form. */
    @Override
    public TList readListBegin() throws TException {
        TList list = super.readListBegin();
        check(list.size);
        return list;
    }

    @Override
    public TMap readMapBegin() throws TException {
        TMap map = super.readMapBegin();
        check(2L * map.size);
        return map;
    }

    /** Each element takes at least one byte: a struct has an end, and an empty string a length. */
    private void check(long count) throws TException {
        int left = transport.frame().getBytesRemainingInBuffer();
        if (count > left) {
            throw transport.refuse(LinkRefusal.FRAME_TOO_LARGE, count + " elements, " + left + " bytes left");
        }
        elements += count;
        if (elements > FREE_ELEMENTS) {
            transport.holdDecoded(elements * ELEMENT_BYTES);
        }
    }
}
