package tansypass.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The program that runs load balancer instances for the simulator, connected by standard input and output. */
public final class Main {
    private static final int EXIT_FAILURE = 2;

    private Main() {}

    /**
     * Runs until the input ends. Malformed input and I/O errors end the program with one line on standard error and
     * exit code 2.
     */
    public static void main(String[] args) {
        try {
            new SimulatorConnection(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (ProtocolException | IOException e) {
            System.err.println("benchlink: " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }
}
