package tansypass.cli;

import java.io.IOException;

/** Thrown if a node sent no response in time, or can't be reached; the message names its address. */
final class NoResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    NoResponseException(String address, IOException cause) {
        super("no answer at " + address + ": " + cause, cause);
    }
}
