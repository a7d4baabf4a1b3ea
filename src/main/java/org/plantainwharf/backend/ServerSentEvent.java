package org.plantainwharf.backend;

/**
 * One server-sent event. Immutable.
 *
 * @param name value of the {@code event} field, empty if the event has none
 * @param data values of the {@code data} fields, joined by line feeds
 */
record ServerSentEvent(String name, String data) {}
