package io.persimmonstack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.crowd.Crowd;
import io.persimmonstack.coordination.crowd.CrowdCheck;
import io.persimmonstack.coordination.crowd.FreePort;
import io.persimmonstack.coordination.crowd.JavaProcess;
import io.persimmonstack.wire.gen.ClaimRecord;
import io.persimmonstack.wire.gen.RouterPeer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Map;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients of a link that end its process, by an exhausted heap or by descriptors. The crowds and the
 * bounds are fixed.
 */
class LinkCrowdTest {
    private static final int HEAP_MB = 40;
    private static final long MEMORY_MB = 160;
    /** Bound on descriptors; the heap allows 640 connections. */
    private static final long MAX_DESCRIPTORS = 700;

    private static final int CLIENTS = 60;
    private static final int SILENT_CLIENTS = 1_500;
    private static final int LARGE_FRAME_BYTES = 16_000_000;
    private static final int FRAME_BYTES = 1 << 20;
    /** Part of a frame that is never sent. */
    private static final int MISSING_BYTES = 16 * 1024;

    private static final int PIECE_BYTES = 32 * 1024;
    private static final long PIECE_PAUSE_MS = 20;
    /** Report without a name and with two empty lists, as the compact protocol writes it. */
    private static final byte[] EMPTY_REPORT = {0x18, 0, 0x16, 0, 0x19, 0x0C, 0x19, 0x0C, 0};

    private static final int CALLS_WITHOUT_READING = 200;
    /** Time for which a crowd may send before the process is checked; one that is refused ends earlier. */
    private static final long SENDING_MS = 10_000;

    /** Bounds a hang; shorter than the time after which an idle connection is closed. */
    private static final int GIVE_UP_MS = 40_000;

    @TempDir
    Path directory;

    private JavaProcess process;
    private ThriftPeers<RouterPeer.Client> peers;
    private PeerAddress address;
    private CrowdCheck check;

    @BeforeEach
    void start() throws Exception {
        address = new PeerAddress("127.0.0.1", FreePort.find());
        process = JavaProcess.start(
                HEAP_MB, directory.resolve("log").toFile(), LinkServerProcess.class, Integer.toString(address.port()));
        peers = ThriftPeers.of(new RouterPeer.Client.Factory(), 1_000);
        check = CrowdCheck.of(process.handle(), MEMORY_MB, MAX_DESCRIPTORS, this::isClaimAnswered);
        assertTrue(check.answersOrdinaryRequest(), "ordinary call answered before the crowd");
    }

    @AfterEach
    void stop() {
        peers.close();
        process.close();
    }

    private boolean isClaimAnswered() {
        ClaimRecord claim = new ClaimRecord("key", "router-1", "print", 1);
        try {
            peers.call(address, 10_000, client -> client.claim(claim, 10, Map.of()));
            return true;
        } catch (WireException e) {
            // Refused at the start, or closed; the next attempt follows.
            return false;
        }
    }

    private void checkDuring(int clients, Crowd.Input input) throws Exception {
        check.checkDuring(Crowd.startOnce(clients, address.port(), input), SENDING_MS);
    }

    private static byte[] announcement(int bytes) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(bytes).array();
    }

    /** The bytes of an announced frame used to be allocated before any had arrived. */
    @Test
    void announcedFramesWithoutContent() throws Exception {
        checkDuring(CLIENTS, out -> out.write(announcement(LARGE_FRAME_BYTES)));
    }

    @Test
    void framesWithoutTheirLastPart() throws Exception {
        checkDuring(CLIENTS, out -> {
            out.write(announcement(FRAME_BYTES));
            out.write(new byte[FRAME_BYTES - MISSING_BYTES]);
        });
    }

    @Test
    void framesInPiecesWithoutTheirLastPart() throws Exception {
        checkDuring(CLIENTS, out -> {
            out.write(announcement(LARGE_FRAME_BYTES));
            for (int sent = 0; sent + PIECE_BYTES < FRAME_BYTES; sent += PIECE_BYTES) {
                out.write(new byte[PIECE_BYTES]);
                Thread.sleep(PIECE_PAUSE_MS);
            }
        });
    }

    /** A list of structs used to be allocated as long as its head says, since an empty struct may have no bytes. */
    @Test
    void listsLongerThanTheirFrame() throws Exception {
        byte[] frame = reports(Integer.MAX_VALUE, 0, new byte[0]);
        checkDuring(CLIENTS, out -> out.write(frame));
    }

    /** A small struct takes several times its bytes in a frame as objects. */
    @Test
    void listsOfSmallStructs() throws Exception {
        int length = 4 * FRAME_BYTES / EMPTY_REPORT.length;
        byte[] frame = reports(length, length, EMPTY_REPORT);
        checkDuring(CLIENTS / 10, out -> out.write(frame));
    }

    @Test
    void answersThatAreNotRead() throws Exception {
        TMemoryBuffer buffer = new TMemoryBuffer(512);
        ClaimRecord claim = new ClaimRecord(LinkServerProcess.LARGE, "router-1", "print", 1);
        new RouterPeer.Client(new TCompactProtocol(buffer)).send_claim(claim, 10, Map.of());
        byte[] call = framed(buffer);
        checkDuring(2 * CLIENTS, out -> {
            for (int i = 0; i < CALLS_WITHOUT_READING; i++) {
                out.write(call);
            }
        });
    }

    /** The memory for frames is 5 MB; a single frame is served whatever its size. */
    @Test
    void singleLargeFrameIsServed() throws Exception {
        ClaimRecord claim = new ClaimRecord("key", "router-1", "print", 1).setBody(new byte[8 * FRAME_BYTES]);
        peers.call(address, 10_000, client -> client.claim(claim, 10, Map.of()));
    }

    @Test
    void frameWithoutProgressIsEnded() throws Exception {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout(GIVE_UP_MS);
            socket.getOutputStream().write(announcement(FRAME_BYTES));
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Connections on which nothing is sent used to be accepted until the machine had no descriptor left. */
    @Test
    void silentConnections() throws Exception {
        checkDuring(SILENT_CLIENTS, out -> out.flush());
    }

    /** Returns a call with a list of reports that begins with the given number of them. */
    private static byte[] reports(int announcedLength, int length, byte[] report) throws Exception {
        TMemoryBuffer buffer = new TMemoryBuffer(512);
        TCompactProtocol protocol = new TCompactProtocol(buffer);
        protocol.writeMessageBegin(new TMessage("keepCrashReports", TMessageType.CALL, 1));
        protocol.writeStructBegin(null);
        protocol.writeFieldBegin(new TField("reports", TType.LIST, (short) 1));
        protocol.writeListBegin(new TList(TType.STRUCT, announcedLength));
        for (int i = 0; i < length; i++) {
            buffer.write(report, 0, report.length);
        }
        buffer.write(new byte[2], 0, 2);
        return framed(buffer);
    }

    private static byte[] framed(TMemoryBuffer buffer) throws Exception {
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(frame);
        out.writeInt(buffer.length());
        out.write(buffer.getArray(), 0, buffer.length());
        return frame.toByteArray();
    }
}
