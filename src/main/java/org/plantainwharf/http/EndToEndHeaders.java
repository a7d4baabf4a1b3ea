package org.plantainwharf.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Filters out hop-by-hop headers, which a proxy must not forward. Stateless and thread-safe. */
public final class EndToEndHeaders {
    /** Headers that RFC 9110 restricts to one connection, in lower case. */
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

    /**
     * Returns the headers that may be forwarded, in their original order. Headers listed in {@code Connection} are
     * hop-by-hop as well and are left out.
     */
    public static List<HttpField> of(HttpFields headers) {
        Set<String> hopByHop = new HashSet<>(HOP_BY_HOP_HEADERS);
        headers.getCSV(HttpHeader.CONNECTION, false).forEach(name -> hopByHop.add(name.toLowerCase(Locale.ROOT)));
        return headers.stream()
                .filter(field -> !hopByHop.contains(field.getLowerCaseName()))
                .toList();
    }
}
