package tansypass.cli;

import java.io.IOException;

/** Thrown if a text is not a numeric address with a port; the message contains the text. */
final class InvalidAddressException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String address) {
        super("not an address and port: " + address);
    }
}
