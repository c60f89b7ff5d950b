package tansypass.cli;

import java.io.IOException;

/** Thrown if a node can't be reached or sent no response in time; the message contains its address. */
final class NoResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    NoResponseException(String address, IOException cause) {
        super("no answer at " + address + ": " + cause, cause);
    }
}
