package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;

/** Writes a request body to a server while it is received, and only as long as the channel is writable. */
public final class RequestBodyWriter {
    private final Channel channel;
    private final StreamWindow window;
    private final RequestBody body;
    private final ProgressTimeout progressTimeout;
    private final Consumer<ChannelFuture> onLastWritten;
    /** Null until the writer is started. */
    private RequestBody.Reader reader;

    /**
     * Creates a writer that has not started.
     *
     * @param window the window of the channel
     * @param progressTimeout the timeout that each written part restarts
     * @param onLastWritten the consumer of the last write's future
     */
    public RequestBodyWriter(
            Channel channel,
            StreamWindow window,
            RequestBody body,
            ProgressTimeout progressTimeout,
            Consumer<ChannelFuture> onLastWritten) {
        this.channel = channel;
        this.window = window;
        this.body = body;
        this.progressTimeout = progressTimeout;
        this.onLastWritten = onLastWritten;
    }

    /** Starts to write the body from its start. The body must be readable. */
    public void start() {
        reader = body.openReader(this::writeAvailable);
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
            onLastWritten.accept(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        } else {
            channel.flush();
        }
        window.updateUsage();
    }

    /** Stops writing. Further calls have no effect. */
    public void close() {
        reader.close();
    }
}
