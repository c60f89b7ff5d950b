package tansypass.node.warmup;

import io.netty.channel.ChannelPipeline;

/**
 * A node that forwards the requests of a warm-up to the node that is warmed up, its only web server. Used on the event
 * loop only.
 */
public interface WarmUpSender {
    /** Starts the node with its fixed endpoint list; it does not listen. */
    void startForWarmUp();

    /** Sets up a client's connection on a channel of the warm-up. */
    void openWarmUpConnection(ChannelPipeline pipeline);

    /** Ends all requests and releases timers and connections. */
    void close();
}
