package tansypass.cluster.runtime;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Random streams by seed and purpose, so that draws for one purpose don't shift those for another. */
public final class RandomStreams {
    private RandomStreams() {}

    /**
     * The stream for one purpose: the same seed and name give the same numbers. Not thread-safe, and not for secrets.
     */
    public static UniformRandomProvider of(long seed, String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seedOf(seed, name));
    }

    /** Derives a seed: 64 well-mixed bits, the same for the same two arguments on every machine. */
    public static long seedOf(long seed, String name) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha256.digest((seed + ":" + name).getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java has SHA-256", e);
        }
    }
}
