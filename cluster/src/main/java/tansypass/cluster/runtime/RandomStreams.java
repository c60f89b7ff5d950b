package tansypass.cluster.runtime;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Creates streams of random numbers, each from a seed and the name of its purpose. Because each purpose has a stream of
 * its own, a further draw for one purpose does not change the numbers of another.
 */
public final class RandomStreams {
    private RandomStreams() {}

    /**
     * Returns the stream for one purpose. The same seed and name always give the same numbers. The stream is not
     * thread-safe, and must not be used for secrets.
     */
    public static UniformRandomProvider of(long seed, String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seedOf(seed, name));
    }

    /** Derives a seed of 64 well-mixed bits from a seed and a name; the result is the same on every machine. */
    public static long seedOf(long seed, String name) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha256.digest((seed + ":" + name).getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("SHA-256 is missing, although every Java platform has to support it", e);
        }
    }
}
