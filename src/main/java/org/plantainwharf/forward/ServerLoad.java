package org.plantainwharf.forward;

/**
 * What a server says of its load along with an answer. Immutable.
 *
 * @param slots requests that it runs at once
 */
public record ServerLoad(int running, int waiting, int slots) {}
