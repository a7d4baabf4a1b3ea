package org.plantainwharf.observation;

/** Evenly distributed 64-bit digests that are the same in every daemon. Not resistant to deliberate collisions. Stateless. */
public final class Digest {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Digest() {}

    /** Returns the digest of a text. */
    public static long of(String text) {
        long value = OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            value = (value ^ text.charAt(index)) * PRIME;
        }
        return mix(value);
    }

    /** Returns the digest of a digest and a number; the order matters. */
    public static long combine(long digest, long number) {
        return mix(31 * digest + number);
    }

    private static long mix(long input) {
        long value = input;
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }
}
