package org.plantainwharf.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Separates headers that concern one connection from those that are passed on. Stateless and thread-safe. */
public final class EndToEndHeaders {
    /** Headers that RFC 9110 binds to one connection. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private EndToEndHeaders() {}

    /** Returns the headers that are passed on. */
    public static List<HttpField> of(HttpFields headers) {
        Set<String> hopByHop = new HashSet<>(HOP_BY_HOP_HEADERS);
        headers.getCSV(HttpHeader.CONNECTION, false).forEach(name -> hopByHop.add(name.toLowerCase(Locale.ROOT)));
        return headers.stream()
                .filter(field -> !hopByHop.contains(field.getLowerCaseName()))
                .toList();
    }
}
