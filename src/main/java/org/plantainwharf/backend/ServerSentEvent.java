package org.plantainwharf.backend;

/**
 * One server-sent event. Immutable.
 *
 * @param name the event's name, empty for a plain message
 * @param data its data lines, joined by line feeds
 */
record ServerSentEvent(String name, String data) {}
