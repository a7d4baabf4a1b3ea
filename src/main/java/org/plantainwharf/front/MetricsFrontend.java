package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.settings.Settings;

/** Serves the metrics of a daemon in the Prometheus text format, which is generated for each request. Thread-safe. */
public final class MetricsFrontend {
    private static final String PATH = "/metrics";

    private final String address;
    private final MetricRegistry metrics;
    private final HttpListener listener;

    private MetricsFrontend(String address, Settings.Bounds bounds, Telemetry telemetry) {
        this.address = address;
        this.metrics = telemetry.metrics();
        this.listener = HttpListener.create(
                "metrics", address, false, bounds, new MetricsHandler(), LibraryAnswers.create("metrics", telemetry));
    }

    /** Returns a server that does not listen yet. */
    public static MetricsFrontend create(String address, Settings.Bounds bounds, Telemetry telemetry) {
        return new MetricsFrontend(address, bounds, telemetry);
    }

    /**
     * Starts listening.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public void start() {
        listener.start();
    }

    /** Returns the bound port, which the operating system chose if port 0 was configured. */
    public int port() {
        return listener.port();
    }

    /**
     * Stops listening.
     *
     * @throws IllegalStateException if the HTTP server cannot be stopped
     */
    public void stop() {
        try {
            listener.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop listening on " + address, e);
        }
    }

    private final class MetricsHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (!PATH.equals(request.getHttpURI().getPath())) {
                response.setStatus(404);
                callback.succeeded();
                return true;
            }
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, PrometheusText.MEDIA_TYPE);
            byte[] text = PrometheusText.format(metrics).getBytes(StandardCharsets.UTF_8);
            response.write(true, ByteBuffer.wrap(text), callback);
            return true;
        }
    }
}
