import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two toy backend servers on 9001 and 9002 and a toy discovery on 8500, all on 127.0.0.1, for trying a sidecar:
 * java example/ToyServers.java. The second server is five times as slow as the first. A GET of /pace/200 at a server's
 * own port has it take some 200 ms from then on.
 */
public class ToyServers {

    public static void main(String[] args) throws IOException {
        backendServer(9001, 20);
        backendServer(9002, 100);
        HttpServer discovery = listen(8500);
        discovery.createContext("/discovery/hosts", ToyServers::watch);
        System.out.println("toy backend servers on 9001 and 9002, discovery on 8500; end with Ctrl-C");
    }

    private static HttpServer listen(int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        return server;
    }

    private static void backendServer(int port, int usualMs) throws IOException {
        AtomicInteger inFlight = new AtomicInteger();
        AtomicInteger work = new AtomicInteger(usualMs);
        HttpServer server = listen(port);
        server.createContext("/pace/", exchange -> {
            work.set(Math.max(2, Integer.parseInt(exchange.getRequestURI().getPath().substring("/pace/".length()))));
            answer(exchange, port + " takes some " + work + " ms\n");
        });
        server.createContext("/", exchange -> {
            int workMs = work.get();
            inFlight.incrementAndGet();
            try {
                exchange.getRequestBody().readAllBytes();
                Thread.sleep(ThreadLocalRandom.current().nextInt(workMs / 2, workMs * 2));
                exchange.getResponseHeaders().set("X-Pressure", load(inFlight.get(), workMs));
                answer(exchange, "served by " + port + ": " + exchange.getRequestMethod() + " "
                        + exchange.getRequestURI() + "\n");
            } catch (InterruptedException stopped) {
                exchange.close();
            } finally {
                inFlight.decrementAndGet();
            }
        });
        server.createContext("/metrics/load", exchange -> answer(exchange, load(inFlight.get(), work.get())));
    }

    private static String load(int inFlight, int workMs) {
        return "inflight=" + inFlight + ",queue=0,latency_ms=" + workMs;
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /** Nothing ever changes here: an empty line every 2 s says that the watch is alive. */
    private static void watch(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        try {
            while (true) {
                exchange.getResponseBody().write('\n');
                exchange.getResponseBody().flush();
                Thread.sleep(2_000);
            }
        } catch (InterruptedException stopped) {
            exchange.close();
        }
    }
}
