package tansypass.cluster.membership;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.regex.Pattern;

/** The fields of one member as read from a message. A required field that the message does not contain is null. */
final class MemberFields {
    private static final int MAX_PORT = 65_535;
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");

    String name;
    Long generation;
    Long nonce;
    String zone;
    String role;
    String address;
    Long oldestVersion;
    Long newestVersion;
    String state;
    Long incarnation;
    String suspectedBy = "";
    boolean isDraining;

    /**
     * Returns the member that these fields describe.
     *
     * @throws MalformedMessageException if a field is missing or has a value that is not allowed
     */
    Member toMember() throws IOException, MalformedMessageException {
        Identity identity = new Identity(
                MessageDecoder.require(name, WireKey.NAME),
                MessageDecoder.require(generation, WireKey.GENERATION),
                MessageDecoder.require(nonce, WireKey.NONCE),
                MessageDecoder.require(zone, WireKey.ZONE),
                parseConstant(Role.values(), role, WireKey.ROLE),
                parseNumericAddress(MessageDecoder.require(address, WireKey.ADDRESS)),
                "",
                MessageDecoder.require(oldestVersion, WireKey.OLDEST_VERSION).intValue(),
                MessageDecoder.require(newestVersion, WireKey.NEWEST_VERSION).intValue());
        long checkedIncarnation = MessageDecoder.require(incarnation, WireKey.INCARNATION);
        MessageDecoder.check(checkedIncarnation >= 0, "incarnation is negative");
        MemberState parsedState = parseConstant(MemberState.values(), state, WireKey.STATE);
        return new Member(identity, parsedState, checkedIncarnation, suspectedBy, isDraining);
    }

    private static <E extends Enum<E>> E parseConstant(E[] constants, String text, String key)
            throws MalformedMessageException {
        String name = MessageDecoder.require(text, key).toUpperCase(Locale.ROOT);
        for (E constant : constants) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        throw new MalformedMessageException(key + " has an unknown value");
    }

    /**
     * Parses an address. Only numeric addresses are accepted: resolving a host name would block the thread, and would
     * query a DNS server that a peer chose.
     */
    private static InetSocketAddress parseNumericAddress(String text) throws IOException, MalformedMessageException {
        MessageDecoder.check(ADDRESS.matcher(text).matches(), "address is not a numeric address and port");
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        MessageDecoder.check(port > 0 && port <= MAX_PORT, "port of the address is out of range");
        return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
    }
}
