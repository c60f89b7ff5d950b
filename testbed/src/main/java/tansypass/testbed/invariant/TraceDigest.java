package tansypass.testbed.invariant;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 digest of the events of a run, updated with each event. The same events in the same order give the same
 * hash. Not thread-safe.
 */
public final class TraceDigest {
    private final MessageDigest digest = newDigest();
    private final ByteBuffer longBuffer = ByteBuffer.allocate(Long.BYTES);

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }

    /** Adds the eight bytes of a number, most significant first. */
    public void addLong(long value) {
        digest.update(longBuffer.clear().putLong(value).flip());
    }

    /** Adds the four bytes of a number, most significant first. */
    public void addInt(int value) {
        digest.update(longBuffer.clear().putInt(value).flip());
    }

    /** Adds a text in UTF-8, without its length. */
    public void addText(String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the first eight bytes of the digest so far as 16 hexadecimal digits; more data may be added later. */
    public String hash() {
        try {
            MessageDigest soFar = (MessageDigest) digest.clone();
            return HexFormat.of().formatHex(soFar.digest(), 0, Long.BYTES);
        } catch (CloneNotSupportedException e) {
            throw new AssertionError("SHA-256 can be cloned", e);
        }
    }
}
