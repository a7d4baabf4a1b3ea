package org.plantainwharf.front;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The objects that Jetty passes to a handler with each request. Immutable. */
record HttpTransaction(Request request, Response response, Callback callback) {}
