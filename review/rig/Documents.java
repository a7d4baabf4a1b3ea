/** Configs of a small deployment. Stateless. */
final class Documents {
    private Documents() {}

    /** Returns a config with the three kinds of routes of the site klamerka-wharf and a number of idle routes. */
    static String config(long version, int idleRoutes, String... moreRoutes) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        text.append(route("r-safe", "/safe/", "safe", 3_000, 2, "app", false)).append(',');
        text.append(route("r-unsafe", "/unsafe/", "unsafe", 3_000, 1, "app", false)).append(',');
        text.append(route("r-stream", "/stream/", "streaming", 10_000, 2, "llm", true));
        for (String route : moreRoutes) {
            text.append(',').append(route);
        }
        for (int index = 0; index < idleRoutes; index++) {
            text.append(',').append(route("r-idle" + index, "/idle" + index + "x" + version + "/", "safe", 3_000, 2, "app", false));
        }
        return text.append("],\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":110,"
                        + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"llm\",\"health_path\":\"/healthz\","
                        + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"]}]}")
                .toString();
    }

    static String route(
            String name, String prefix, String type, long timeoutMillis, int attempts, String service, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"path_prefix\":\"" + prefix + "\",\"type\":\"" + type
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":386,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"session_affinity\":" + type.equals("streaming")
                + ",\"stream_resume\":" + resume + ",\"itl_target_ms\":300}";
    }
}
