package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes a request body to a server while it is received, and only as long as the channel is writable. The last chunk
 * is written only after all parts: a body that ends early must not look complete to the server.
 */
public final class RequestBodyWriter implements RequestBody.Listener {
    /** Receives the end of the body. */
    public interface Listener {
        /** Called when all of the body has been written to the channel, with the future of the last write. */
        void onLastWritten(ChannelFuture lastWrite);

        /** Called when the body has been closed before all of it was written. It can't be completed any more. */
        void onBodyClosed();
    }

    private final Channel channel;
    private final StreamWindow window;
    private final RequestBody body;
    private final ProgressTimeout progressTimeout;
    private final Listener listener;
    /** Null until the writer is started. */
    private RequestBody.Reader reader;

    /**
     * Creates a writer that has not started.
     *
     * @param window the window of the channel
     * @param progressTimeout the timeout that each written part restarts
     */
    public RequestBodyWriter(
            Channel channel,
            StreamWindow window,
            RequestBody body,
            ProgressTimeout progressTimeout,
            Listener listener) {
        this.channel = channel;
        this.window = window;
        this.body = body;
        this.progressTimeout = progressTimeout;
        this.listener = listener;
    }

    /** Starts to write the body from its start. The body must be readable. */
    public void start() {
        reader = body.openReader(this);
        writeAvailable();
    }

    /** Writes the parts that have been received. Must be called again when the channel becomes writable. */
    public void writeAvailable() {
        ByteBuf part = channel.isWritable() ? reader.readNextOrNull() : null;
        while (part != null) {
            window.resize();
            progressTimeout.recordProgress();
            channel.write(new DefaultHttpContent(part));
            part = channel.isWritable() ? reader.readNextOrNull() : null;
        }
        if (reader.isFullyRead()) {
            reader.close();
            listener.onLastWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        } else {
            channel.flush();
        }
        window.updateUsage();
    }

    @Override
    public void onContent() {
        writeAvailable();
    }

    @Override
    public void onBodyClosed() {
        listener.onBodyClosed();
    }

    /** Stops writing. Further calls have no effect. */
    public void close() {
        reader.close();
    }
}
