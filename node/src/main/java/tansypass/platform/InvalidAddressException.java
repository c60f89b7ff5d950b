package tansypass.platform;

/** Thrown when a text is not a numeric address with a port; the message contains the text. */
public final class InvalidAddressException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidAddressException(String text) {
        super("not an address and port: " + text);
    }
}
