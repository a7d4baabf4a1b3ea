package org.plantainwharf.front;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** What the server hands over with a request. Immutable. */
record HttpTransaction(Request request, Response response, Callback callback) {}
