package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.PromiseNotifier;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tansypass.node.http.BufferLimiters;
import tansypass.node.http.HeapBufferLimiter;
import tansypass.node.http.StreamWindow;

/**
 * Writes a connection's responses, and closes the connection after the last one. It owns the timer of the lingering
 * close. Used on the event loop only.
 */
final class ResponseWriter {
    /**
     * The time for which a connection stays open after the last response if its client is still sending. In this time
     * the client can read the response, which says why the connection is closed.
     */
    private static final long LINGER_MS = 1_000;
    /**
     * The time for which any other connection stays open after the last response. The client's next request
     * may be on its way, and a reset would discard the response.
     */
    private static final long IDLE_LINGER_MS = 200;

    private final ClientConnection connection;
    private final Channel channel;
    private final StreamWindow window;
    private final HeapBufferLimiter heapLimiter;
    /** The complete response that is being written part by part; null if there is none. */
    private BufferedResponseBody bufferedBody;

    private int unwrittenResponses;
    private boolean closing;
    /** Runs when the channel accepts more of the streamed response; null if no response is being streamed. */
    private Runnable whenWritable;

    private boolean keepAliveAfterStream;
    /** Closes the connection; null unless the last response has been written. */
    private ScheduledFuture<?> lingerTimer;

    /** Creates the writer of an open connection. */
    ResponseWriter(ClientConnection connection, Channel channel, BufferLimiters limiters) {
        this.connection = connection;
        this.channel = channel;
        window = new StreamWindow(channel, limiters.direct());
        heapLimiter = limiters.heap();
    }

    /** Returns whether the connection serves no further request. */
    boolean isClosing() {
        return closing;
    }

    /** Makes the response to the request in flight the connection's last one. */
    void closeAfterResponse() {
        closing = true;
    }

    /** Closes the connection when the responses that have been sent are written. No further request is served. */
    void closeWhenWritten() {
        closing = true;
        closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), LINGER_MS);
    }

    /** Returns whether a response has been sent that is not written completely. */
    boolean hasUnwrittenResponse() {
        return unwrittenResponses > 0;
    }

    /**
     * Sends a complete response and takes over its reference.
     *
     * @param keepAlive whether the client can send another request on the connection
     * @return a future that completes when the response has been written
     */
    ChannelFuture sendResponse(FullHttpResponse response, boolean keepAlive) {
        window.resize();
        if (response.content().readableBytes() > BufferedResponseBody.PART_BYTES && !connection.isHeadRequest()) {
            return sendInParts(response, keepAlive);
        }
        boolean keepOpen = canKeepAlive(keepAlive);
        FullHttpResponse sent = connection.isHeadRequest() ? response.replace(Unpooled.EMPTY_BUFFER) : response;
        return endResponse(channel.writeAndFlush(keepOpen ? sent : withConnectionClose(sent)), keepOpen);
    }

    /** Writes a response as fast as the client reads it, so that little of it waits in direct memory. */
    private ChannelFuture sendInParts(FullHttpResponse response, boolean keepAlive) {
        HttpResponse head = new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers());
        BufferedResponseBody body = new BufferedResponseBody(response.content(), heapLimiter, channel.newPromise());
        bufferedBody = body;
        startResponse(head, keepAlive, this::writeBufferedParts);
        writeBufferedParts();
        return body.written();
    }

    private void writeBufferedParts() {
        while (bufferedBody.hasNext() && channel.isWritable()) {
            writePart(bufferedBody.next());
        }
        if (bufferedBody.hasNext()) {
            flush();
            return;
        }
        ChannelPromise written = bufferedBody.written();
        dropBufferedBody();
        PromiseNotifier.cascade(finishResponse(), written);
    }

    private void dropBufferedBody() {
        if (bufferedBody != null) {
            bufferedBody.close();
            bufferedBody = null;
        }
    }

    /**
     * Sends an error response as the connection's last response, and closes the connection. Its other requests are
     * not served.
     */
    void sendFinalResponse(FullHttpResponse response) {
        closing = true;
        ChannelFuture writing = channel.writeAndFlush(withConnectionClose(response));
        trackUntilWritten(writing);
        closeAfter(writing, LINGER_MS);
    }

    /**
     * Writes the head of a streamed response. The caller then writes its parts, and ends it with
     * {@link #finishResponse} or {@link #abort}.
     */
    void startResponse(HttpResponse head, boolean keepAlive, Runnable onWritable) {
        keepAliveAfterStream = canKeepAlive(keepAlive);
        whenWritable = onWritable;
        channel.write(keepAliveAfterStream ? head : withConnectionClose(head));
    }

    /** Returns whether a streamed response has started and has not ended. */
    boolean isStreaming() {
        return whenWritable != null;
    }

    /** Writes a part of the streamed response and takes over its reference. */
    void writePart(ByteBuf part) {
        window.resize();
        channel.write(new DefaultHttpContent(part));
    }

    /** Flushes what has been written. */
    void flush() {
        channel.flush();
        window.updateUsage();
    }

    /** Returns whether the channel accepts more data. */
    boolean isWritable() {
        return channel.isWritable();
    }

    /** Attempts to write what waits for the client, and returns whether it has accepted any since the last call. */
    boolean hasAdvanced() {
        return window.hasAdvanced();
    }

    /** Notifies the source of the streamed response if the channel accepts more data. */
    void onWritabilityChanged() {
        window.updateUsage();
        if (whenWritable != null && channel.isWritable()) {
            whenWritable.run();
        }
    }

    /** Ends the streamed response. The returned future completes when all of it has been written. */
    ChannelFuture finishResponse() {
        whenWritable = null;
        // The connection may have become unusable for a further request since the head was written.
        boolean keepOpen = keepAliveAfterStream && !closing;
        return endResponse(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepOpen);
    }

    /** Stops counting the bytes that wait, and the timer that would keep the closed channel in memory. */
    void onChannelEnd() {
        window.updateUsage();
        if (lingerTimer != null) {
            lingerTimer.cancel(false);
        }
    }

    /** Stops notifying the source of the streamed response, and drops what remains of a buffered one. */
    void stopStreaming() {
        whenWritable = null;
        dropBufferedBody();
    }

    /**
     * Resets the connection in the middle of a streamed response. The end of the connection is also the end of a
     * response without a length, so that an ordinary close would make the response look complete.
     */
    void abort() {
        connection.clearRequestInFlight();
        stopStreaming();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private boolean canKeepAlive(boolean keepAlive) {
        return keepAlive && !closing && connection.canKeepAlive();
    }

    private ChannelFuture endResponse(ChannelFuture writing, boolean keepOpen) {
        boolean clientIsSending = closing || connection.hasUnprocessedInput();
        connection.onResponseSent();
        trackUntilWritten(writing);
        if (!keepOpen) {
            closing = true;
            return closeAfter(writing, clientIsSending ? LINGER_MS : IDLE_LINGER_MS);
        }
        connection.schedulePipelinedInput();
        return writing;
    }

    private void trackUntilWritten(ChannelFuture writing) {
        unwrittenResponses++;
        window.updateUsage();
        writing.addListener(written -> {
            unwrittenResponses--;
            window.updateUsage();
        });
    }

    /**
     * Closes the connection some time after the write (lingering close). If the connection were closed at once while
     * input is unread or on its way, the kernel would reset it and discard the response.
     */
    private ChannelFuture closeAfter(ChannelFuture writing, long lingerMs) {
        channel.config().setAutoRead(true);
        return writing.addListener(written -> {
            if (channel instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
            if (channel.isOpen()) {
                lingerTimer = channel.eventLoop().schedule(() -> channel.close(), lingerMs, TimeUnit.MILLISECONDS);
            }
        });
    }

    private static <T extends HttpResponse> T withConnectionClose(T response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }
}
