package io.persimmonstack.backends.http;

import io.undertow.conduits.ChunkedStreamSourceConduit;
import io.undertow.conduits.ReadDataStreamSourceConduit;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

/** Framing of the requests that a server receives, checked on the I/O thread before a body is read. */
public final class RequestFraming {
    private RequestFraming() {}

    /**
     * Returns whether the end of the body is ambiguous. Another server could then see it elsewhere and take the rest
     * for a second request (request smuggling).
     */
    public static boolean isAmbiguous(HttpServerExchange exchange) {
        HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        if (encodings != null) {
            return lengths != null
                    || encodings.size() > 1
                    || !Headers.CHUNKED.equalToString(encodings.getFirst().strip());
        }
        return lengths != null && (lengths.size() > 1 || lengths.getFirst().indexOf(',') >= 0);
    }

    /** Has the body of a request in chunks checked while it is read; reading fails where its framing is malformed. */
    public static void checkChunks(HttpServerExchange exchange) {
        if (!exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING) || exchange.isRequestComplete()) {
            return;
        }
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        FramingConduit checked =
                FramingConduit.of(connection.getOriginalSourceConduit(), ChunkedFraming.beginBounded());
        PooledByteBuffer received = connection.getExtraBytes();
        if (received != null) {
            checked.checkEarlier(received.getBuffer());
        }
        ReadDataStreamSourceConduit source = new ReadDataStreamSourceConduit(checked, connection);
        connection
                .getChannel()
                .getSourceChannel()
                .setConduit(new ChunkedStreamSourceConduit(
                        source, exchange, ended -> Connectors.terminateRequest(exchange)));
    }
}
