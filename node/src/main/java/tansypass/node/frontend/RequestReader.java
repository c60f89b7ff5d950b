package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import tansypass.node.admin.CloseReason;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.BoundedReceiveAllocator;
import tansypass.node.http.RequestBody;
import tansypass.node.http.ResponseFactory;

/**
 * Reads a connection's requests from decoded messages, one request at a time. It suspends reading from the channel
 * while the window of a body is full. It owns the request being received. Used on the event loop only.
 */
final class RequestReader {
    /**
     * The maximum number of bytes that are read and discarded of a body that is not forwarded. Discarding them keeps
     * the connection usable; with a longer body, it is closed.
     */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    /**
     * The delay before a request's end is processed if the client's socket may hold unread bytes. It is read in the
     * meantime.
     */
    private static final long COMPLETION_DELAY_MS = 1;

    private final HttpFrontend frontend;
    private final ClientConnection connection;
    private final Channel channel;
    /** The request being received, or null. */
    private IncomingRequest incoming;

    private boolean lastRequestIsHead;
    /** The memory that is counted for the head of the request received last, until its response has been sent. */
    private int countedHeadBytes;

    /** Creates the reader of a connection on which nothing has been received. */
    RequestReader(HttpFrontend frontend, ClientConnection connection, Channel channel) {
        this.frontend = frontend;
        this.connection = connection;
        this.channel = channel;
    }

    /** Returns the request being received; null if there is none. */
    IncomingRequest incomingOrNull() {
        return incoming;
    }

    /** Forgets the request received last, and ignores what remains of it if it is still being received. */
    void clear() {
        incoming = null;
        countHead(0);
    }

    private void countHead(int bytes) {
        frontend.limiters().heap().add(bytes - countedHeadBytes);
        countedHeadBytes = bytes;
    }

    /** Returns whether the request received last has the method HEAD, and its response therefore no body. */
    boolean isHeadRequest() {
        return lastRequestIsHead;
    }

    /**
     * Processes a message and releases it.
     *
     * @param earliestArrivalNs the earliest time at which the message may have arrived, by {@link System#nanoTime}
     */
    void read(HttpObject message, long earliestArrivalNs) {
        try {
            if (message.decoderResult().isFailure()) {
                connection.reject(
                        CloseReason.MALFORMED_REQUEST,
                        RequestHeadValidator.toBadRequest(
                                message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest head) {
                startRequest(head);
            }
            if (message instanceof LastHttpContent last && incoming != null) {
                scheduleCompletion(last.content().retain(), earliestArrivalNs);
            } else if (message instanceof HttpContent content && incoming != null) {
                receiveBody(content.content());
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startRequest(HttpRequest head) {
        incoming = new IncomingRequest(head);
        countHead(incoming.headMemoryBytes());
        lastRequestIsHead = head.method().equals(HttpMethod.HEAD);
        boolean expectsContinue = RequestHeadValidator.hasExpectation(head);
        try {
            RequestHeadValidator.validate(head);
            if (!frontend.localResponder().isLocal(head)) {
                incoming.exchange = frontend.createExchange(connection, head);
            }
            if (expectsContinue) {
                channel.writeAndFlush(ResponseFactory.newEmpty(HttpResponseStatus.CONTINUE));
            }
        } catch (BadRequestException e) {
            incoming.failure = e;
            if (expectsContinue || RequestHeadValidator.isTooLarge(head)) {
                // The error does not depend on the body: don't read it.
                connection.reject(CloseReason.MALFORMED_REQUEST, e);
            }
        }
    }

    private void receiveBody(ByteBuf part) {
        incoming.receive(part.readableBytes());
        Exchange exchange = incoming.exchange;
        if (exchange == null) {
            if (incoming.receivedBytes > MAX_DISCARDED_BYTES) {
                connection.reject(
                        CloseReason.MALFORMED_REQUEST,
                        incoming.failure == null ? RequestHeadValidator.newBodyTooLarge() : incoming.failure);
            }
            return;
        }
        if (incoming.receivedBytes > RequestHeadValidator.MAX_BODY_BYTES) {
            connection.reject(CloseReason.MALFORMED_REQUEST, RequestHeadValidator.newBodyTooLarge());
            return;
        }
        RequestBody body = exchange.request().body();
        body.add(part);
        if (!connection.hasRequestInFlight() && body.isOverBufferThreshold()) {
            connection.setRequestInFlight(exchange);
            frontend.dispatch(exchange);
        }
        updateReading();
    }

    /**
     * Suspends reading while the window of the body is full, and resumes it otherwise. There is no other reason to
     * suspend it, because only reading detects a disconnect.
     */
    void updateReading() {
        boolean windowFull = incoming != null
                && !incoming.complete
                && incoming.exchange != null
                && incoming.exchange.request().body().isWindowFull();
        if (windowFull) {
            incoming.suspendReading();
        }
        channel.config().setAutoRead(!windowFull);
    }

    /** Forwards what has been received of a long body, since no more of it is being processed at present. */
    void forwardReceivedBody() {
        if (incoming != null && incoming.exchange != null) {
            incoming.exchange.request().body().onReadComplete();
        }
    }

    /** Called when the channel has been read until nothing was left, unless reading is suspended. */
    void onReadComplete() {
        forwardReceivedBody();
        if (incoming != null && channel.config().isAutoRead()) {
            incoming.onConnectionDrained();
        }
    }

    /**
     * Schedules the processing of a request's end. It comes after everything has been read that the kernel has
     * received on any connection: the request may have waited in the kernel for a long time, and the client's
     * disconnect may wait right behind it, as may the end of an idle connection to a server. If reading from the
     * client was suspended, its socket is read first.
     */
    private void scheduleCompletion(ByteBuf lastPart, long earliestArrivalNs) {
        IncomingRequest completed = incoming;
        completed.complete = true;
        updateReading();
        Runnable completion = () -> processLastPart(completed, lastPart, earliestArrivalNs);
        if (completed.readingSuspended) {
            channel.eventLoop().schedule(completion, COMPLETION_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            channel.eventLoop().execute(() -> runAfterRead(completion));
        }
    }

    /** Runs a task, but not before the channel has been read once more if its last read may have left bytes unread. */
    private void runAfterRead(Runnable task) {
        if (BoundedReceiveAllocator.mayHaveUnreadBytes(channel)) {
            channel.eventLoop().schedule(task, COMPLETION_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            task.run();
        }
    }

    private void processLastPart(IncomingRequest completed, ByteBuf lastPart, long earliestArrivalNs) {
        try {
            if (incoming == completed && channel.isActive()) {
                receiveBody(lastPart);
                // The last part may have made the request invalid.
                if (incoming == completed) {
                    completeRequest(earliestArrivalNs);
                }
            } else if (!channel.isActive()) {
                frontend.recordAbandoned();
            }
        } finally {
            lastPart.release();
        }
    }

    private void completeRequest(long earliestArrivalNs) {
        IncomingRequest completed = incoming;
        incoming = null;
        connection.onRequestComplete();
        if (completed.exchange != null) {
            boolean dispatched = connection.hasRequestInFlight();
            connection.setRequestInFlight(completed.exchange);
            completed.exchange.completeRequest(completed.earliestArrivalNs(earliestArrivalNs));
            if (!dispatched) {
                frontend.dispatch(completed.exchange);
            }
            return;
        }
        connection
                .writer()
                .sendResponse(
                        completed.failure != null
                                ? ResponseFactory.newBadRequest(completed.failure)
                                : frontend.localResponder().respond(completed.head),
                        HttpUtil.isKeepAlive(completed.head));
    }
}
