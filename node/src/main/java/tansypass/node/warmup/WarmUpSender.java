package tansypass.node.warmup;

import io.netty.channel.ChannelPipeline;

/**
 * The node that sends the requests of a warm-up. Its only web server is the node to warm up. Used on the event loop
 * only.
 */
public interface WarmUpSender {
    /** Starts the node with its fixed endpoint list. The node does not listen for connections. */
    void startForWarmUp();

    /** Adds the handlers of a client connection to the pipeline of a channel of the warm-up. */
    void openWarmUpConnection(ChannelPipeline pipeline);

    /** Ends all requests, stops the timers and closes the connections. */
    void close();
}
