package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;

/** Writes a request body to a server as it is received, no faster than the channel is writable. */
public final class RequestBodyWriter {
    private final Channel channel;
    private final RequestBody body;
    private final ProgressTimeout progressTimeout;
    private final Consumer<ChannelFuture> onLastWritten;
    private boolean closed;

    /**
     * Creates a writer that has not started.
     *
     * @param progressTimeout is restarted with each part written
     * @param onLastWritten receives the future of the last write
     */
    public RequestBodyWriter(
            Channel channel, RequestBody body, ProgressTimeout progressTimeout, Consumer<ChannelFuture> onLastWritten) {
        this.channel = channel;
        this.body = body;
        this.progressTimeout = progressTimeout;
        this.onLastWritten = onLastWritten;
    }

    /** Writes from the start of the body on. */
    public void start() {
        body.rewind(this::writeAvailable);
        writeAvailable();
    }

    /** Writes what is available; has to be called again when the channel becomes writable. */
    public void writeAvailable() {
        ByteBuf part = !closed && channel.isWritable() ? body.readNextOrNull() : null;
        while (part != null) {
            progressTimeout.recordProgress();
            channel.write(new DefaultHttpContent(part));
            part = !closed && channel.isWritable() ? body.readNextOrNull() : null;
        }
        if (!closed && body.isFullyRead()) {
            close();
            onLastWritten.accept(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        } else {
            channel.flush();
        }
    }

    /** Stops writing. */
    public void close() {
        closed = true;
        body.stopReading();
    }
}
