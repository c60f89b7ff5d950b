package tansypass.node.http;

import io.netty.buffer.ByteBuf;

/** The receiver of a long response's body, part by part. Used on one event loop only. */
public interface ResponseBodySink {
    /** A sink that discards the body of a response that is no longer needed. */
    ResponseBodySink DISCARDING = new ResponseBodySink() {
        @Override
        public void write(ByteBuf part) {
            part.release();
        }

        @Override
        public void flush() {}

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean hasAdvanced() {
            return false;
        }

        @Override
        public void finish() {}
    };

    /** Forwards a part of the body and releases it. */
    void write(ByteBuf part);

    /** Flushes the parts that have been written. */
    void flush();

    /**
     * Returns whether the sink accepts more parts. If not, the writer is notified when the sink accepts parts again.
     */
    boolean isWritable();

    /**
     * Attempts to pass on what waits for the receiver, and returns whether it has accepted any since the last call.
     */
    boolean hasAdvanced();

    /** Marks the response as complete. */
    void finish();
}
