import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case: requests whose path begins with two slashes. */
final class ForwardedPath {
    private static final List<String> ORDINARY = List.of("/shop/unsafe/order", "/shop/safe/stock?peg=8", "/a/b//c");
    private static final List<String> DOUBLE_SLASH = List.of("//shop/unsafe/order", "//shop/safe/stock?peg=8", "//a/b//c");

    private ForwardedPath() {}

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(arguments[0])) {
            result = run(rig);
            rig.note("result %d", result);
        }
        System.exit(result);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, String> run = new ConcurrentHashMap<>();
        for (int index = 0; index < 2; index++) {
            rig.new Server("app-" + index, "app", 6, request -> {
                run.put(request.id(), request.path);
                request.succeed("done".getBytes(StandardCharsets.UTF_8));
            });
        }
        rig.startSystem(4, 1);
        String everything = Documents.route("r-everything", "/", "unsafe", 3_000, 1, "app", false);
        if (rig.replaceConfig(Documents.config(1, 8, everything), 20_000) != 200
                || !rig.await(10_000, () -> rig.entries.getFirst().ready())) {
            return 2;
        }
        Thread.sleep(3_500);
        int changed = 0;
        int number = 0;
        for (String path : rig.trouble ? DOUBLE_SLASH : ORDINARY) {
            for (String method : List.of("POST", "GET")) {
                String id = "request-" + number++;
                try (Rig.Connection connection = rig.connect(rig.entries.getFirst().frontendAddress(), 1_000)) {
                    Map<String, String> headers = new LinkedHashMap<>();
                    headers.put("Host", "site.example");
                    headers.put("X-Plantainwharf-Attempt-Id", id);
                    headers.put("X-Plantainwharf-Deadline-Ms", "3000");
                    headers.put("Authorization", "Token key-a");
                    connection.send(method, path, headers, new byte[10]);
                    int status = connection.receive(4_000).status;
                    String seen = run.get(id);
                    boolean differs = seen != null && !seen.equals(path);
                    changed += differs ? 1 : 0;
                    rig.note("%s: sent %s %s, answered %d, a server ran %s%s", id, method, path, status, seen,
                            differs ? ": changed" : "");
                }
            }
        }
        return changed > 0 ? 1 : 0;
    }
}
