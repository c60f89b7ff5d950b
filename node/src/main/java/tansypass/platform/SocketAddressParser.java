package tansypass.platform;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses the addresses in the platform's JSON and in its environment variables. */
public final class SocketAddressParser {
    private static final Pattern HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    private SocketAddressParser() {}

    /**
     * Parses a numeric host and a port, such as {@code 10.0.0.7:80} or {@code [::1]:80}. Host names are rejected: there
     * is no DNS, and resolving a name would block the event loop.
     *
     * @throws InvalidAddressException if the text is not such an address
     */
    public static InetSocketAddress parse(String text) throws InvalidAddressException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!HOST.matcher(host).matches() || !PORT.matcher(port).matches() || Integer.parseInt(port) > MAX_PORT) {
            throw new InvalidAddressException(text);
        }
        InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(port));
        if (address.isUnresolved()) {
            throw new InvalidAddressException(text);
        }
        return address;
    }
}
