package tansypass.cluster.transport;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Thrown if a socket of the cluster transport cannot be bound. The message names the address. */
public final class ClusterBindException extends IOException {
    private static final long serialVersionUID = 1L;

    ClusterBindException(String socketType, InetSocketAddress address, Throwable cause) {
        super("can't bind " + socketType + " socket at " + address + ": " + cause.getMessage(), cause);
    }
}
