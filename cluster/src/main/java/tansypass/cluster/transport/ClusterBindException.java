package tansypass.cluster.transport;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Thrown if a socket of the cluster can't be bound; its message names the address. */
public final class ClusterBindException extends IOException {
    private static final long serialVersionUID = 1L;

    ClusterBindException(String failed, InetSocketAddress address, Throwable cause) {
        super("can't " + failed + " at " + address + ": " + cause.getMessage(), cause);
    }
}
