package tansypass.node.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import tansypass.node.admin.CloseReason;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.RequestDecoder;
import tansypass.node.http.ResponseFactory;
import tansypass.node.logging.LogEvent;

/**
 * A client's connection, which serves one request at a time. It owns the channel and the request in flight, and it
 * connects the other parts: {@link RequestReader}, {@link PipelinedInput}, {@link ResponseWriter} and
 * {@link ClientTimeouts}. Used on the event loop only.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter implements PipelineScheduler.Connection {
    private static final Logger LOG = System.getLogger(ClientConnection.class.getName());

    private static final int MAX_REQUEST_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 16_384;

    private final HttpFrontend frontend;
    private final Channel channel;
    private final PipelinedInput pipelined;
    private final RequestReader reader;
    private final ResponseWriter writer;
    private final ClientTimeouts timeouts;
    /** The request that has been dispatched, or null. Its body may not have been received completely yet. */
    private Exchange requestInFlight;

    /** Creates the connection of an open channel. */
    public ClientConnection(HttpFrontend frontend, Channel channel) {
        this.frontend = frontend;
        this.channel = channel;
        pipelined = new PipelinedInput(this, frontend.limiters().heap());
        reader = new RequestReader(frontend, this, channel);
        writer = new ResponseWriter(this, channel, frontend.limiters());
        timeouts = new ClientTimeouts(this, channel);
    }

    /** Adds the connection's handlers to its pipeline. */
    void addHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(
                pipelined,
                new RequestDecoder(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, pipelined),
                new HttpResponseEncoder(),
                this);
    }

    /** Closes the connection at once. */
    void close(CloseReason reason) {
        frontend.recordClose(reason);
        channel.close();
    }

    /** Returns the writer of the connection's responses. */
    ResponseWriter writer() {
        return writer;
    }

    /** Returns the reader of the connection's requests. */
    RequestReader reader() {
        return reader;
    }

    /** Returns the timeouts that decide when the connection may be closed. */
    ClientTimeouts timeouts() {
        return timeouts;
    }

    /** Returns whether a request of this connection has been dispatched and its response has not been sent. */
    boolean hasRequestInFlight() {
        return requestInFlight != null;
    }

    /** Sets the request that has been dispatched, or is about to be. */
    void setRequestInFlight(Exchange exchange) {
        requestInFlight = exchange;
    }

    /** Forgets the request in flight without notifying its exchange. */
    void clearRequestInFlight() {
        requestInFlight = null;
    }

    /**
     * Returns whether no request has been received completely or dispatched, no pipelined input is queued, and no
     * response is being written.
     */
    boolean hasNoCompleteRequest() {
        return requestInFlight == null
                && (reader.incomingOrNull() == null || !reader.incomingOrNull().complete)
                && !writer.hasUnwrittenResponse()
                && pipelined.isEmpty();
    }

    /** Returns whether a request has been received completely and waits for its response. */
    private boolean isBusy() {
        return reader.incomingOrNull() == null ? requestInFlight != null : reader.incomingOrNull().complete;
    }

    /**
     * Returns whether no further request is started until the client has read more of the responses it has been sent.
     * Otherwise a client that sends requests and reads nothing would fill the memory.
     */
    private boolean isWaitingForClient() {
        return reader.incomingOrNull() == null && !writer.isWritable();
    }

    /** Returns whether the next request has to wait, for an earlier response or for the client. */
    boolean cannotStartRequest() {
        return isBusy() || isWaitingForClient();
    }

    /** Returns whether new input has to be queued until the next request can be started. */
    boolean hasToQueueInput() {
        return cannotStartRequest() || !pipelined.isEmpty();
    }

    /** Returns whether a request is being received or pipelined input is queued. */
    boolean hasUnprocessedInput() {
        return reader.incomingOrNull() != null || !pipelined.isEmpty();
    }

    /** Returns whether the request received last has the method HEAD. */
    boolean isHeadRequest() {
        return reader.isHeadRequest();
    }

    /**
     * Returns whether another request may follow the present response. It may not while the present request is still
     * being received. While the node is draining, only a request that has been received already may follow.
     */
    boolean canKeepAlive() {
        return reader.incomingOrNull() == null && (!frontend.lifecycle().isDraining() || !pipelined.isEmpty());
    }

    /** Returns whether the connection serves no further request. */
    boolean isClosing() {
        return writer.isClosing();
    }

    /** Records that bytes have been received, whichever request they belong to. */
    void onBytesReceived() {
        timeouts.onBytesReceived();
    }

    /** Records that the request being received is complete. */
    void onRequestComplete() {
        timeouts.onRequestComplete();
        frontend.markRecentlyUsed(this);
    }

    /** Prepares the connection for its next request. */
    void onResponseSent() {
        requestInFlight = null;
        reader.clear();
        timeouts.onResponseSent();
    }

    /** Schedules the processing of the pipelined input, if there is any. */
    void schedulePipelinedInput() {
        if (!pipelined.isEmpty()) {
            frontend.pipelineScheduler().add(this);
        }
    }

    @Override
    public void processPipelinedInput() {
        while (!pipelined.isEmpty() && !writer.isClosing() && !cannotStartRequest()) {
            pipelined.processNext();
        }
        reader.forwardReceivedBody();
    }

    /**
     * Called when the client has sent more pipelined input than may be buffered. The input is dropped, and the
     * connection serves no request after the present one.
     */
    void onPipelineOverflow() {
        pipelined.clear();
        if (!isBusy() && !writer.hasUnwrittenResponse()) {
            close(CloseReason.PIPELINE_OVERFLOW);
            return;
        }
        frontend.recordClose(CloseReason.PIPELINE_OVERFLOW);
        if (isBusy()) {
            writer.closeAfterResponse();
        } else {
            writer.closeWhenWritten();
        }
    }

    /**
     * Closes the connection because a request is invalid, too long or not received in time. If an earlier request is
     * complete and has no response yet, the client gets that response and not the error. Otherwise the request being
     * received is abandoned, of which no server has all bytes, and the client gets the error.
     *
     * @param reason is counted
     * @param error states the status of the response
     */
    void reject(CloseReason reason, BadRequestException error) {
        frontend.recordClose(reason);
        if (writer.isClosing() || (requestInFlight != null && reader.incomingOrNull() == null)) {
            writer.closeAfterResponse();
            return;
        }
        abandonRequest();
        writer.sendFinalResponse(ResponseFactory.newBadRequest(error));
    }

    /** Abandons the request that is being received or in flight, and its response. */
    private void abandonRequest() {
        IncomingRequest incoming = reader.incomingOrNull();
        Exchange abandoned = requestInFlight != null || incoming == null ? requestInFlight : incoming.exchange;
        requestInFlight = null;
        reader.clear();
        writer.stopStreaming();
        if (abandoned != null) {
            abandoned.disconnect();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        frontend.addConnection(this);
        timeouts.startWaiting();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        frontend.removeConnection(this);
        pipelined.clear();
        abandonRequest();
        writer.onChannelEnd();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (writer.isClosing() || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
        } else {
            reader.read(object, pipelined.earliestArrivalNs());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reader.onReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        writer.onWritabilityChanged();
        if (writer.isWritable()) {
            schedulePipelinedInput();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The client has disconnected, which it may do at any time, even during a request.
        if (cause instanceof IOException) {
            channel.close();
            return;
        }
        // Any other exception is a fault of this node. A request in flight still gets a response.
        LOG.log(Level.ERROR, LogEvent.CLIENT_CONNECTION_FAILED.line(channel.remoteAddress()), cause);
        if (requestInFlight != null && !requestInFlight.isAnswered()) {
            requestInFlight.fail(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
        } else {
            channel.close();
        }
    }
}
