package tansypass.simulator;

/** Thrown when the simulator's input is malformed; the message is one line of text for the operator. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    ProtocolException(String message) {
        super(message);
    }
}
