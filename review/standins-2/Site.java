import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, with
 * the commands of the deploy file, and small stand-ins of the platform and of its replicas.
 */
final class Site implements AutoCloseable {

  static final int CORES = 3;
  static final String HOST = "shop.example";
  static final String KEY = "key-of-tenant-one-0001";
  static final String TENANT = "tenant-one";
  static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

  final Recorder recorder;
  final Path root;
  final Path folder;
  final int octet;
  final int controlPort;
  final int frontPort;
  final int readyPort;
  final int internalPort;
  final Platform platform;
  final List<Machine> cores = new ArrayList<>();
  final List<Machine> entries = new ArrayList<>();
  final List<Replica> replicas = new CopyOnWriteArrayList<>();
  private final Map<String, List<String>> commands = new LinkedHashMap<>();

  Site(Recorder recorder, Path root, int entryCount) throws IOException {
    this.recorder = recorder;
    this.root = root;
    this.folder = Files.createTempDirectory("case");
    this.octet = 20 + new Random().nextInt(200);
    int[] ports = freePorts();
    controlPort = ports[0];
    frontPort = ports[1];
    readyPort = ports[2];
    internalPort = ports[3];
    platform = new Platform(this, ports[4]);
    readCommands();
    for (int i = 0; i < CORES; i++) {
      cores.add(new Machine(this, "core-" + (i + 1), ip(1 + i), ZONES[i % 3], true));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Machine(this, "edge-" + (i + 1), ip(11 + i), ZONES[i % 3], false));
    }
  }

  String ip(int number) {
    return "127." + octet + ".0." + number;
  }

  /** Consecutive ports for the parts of a machine; the internal range is the last of them. */
  private int[] freePorts() throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 50; attempt++) {
      int base = 20_000 + random.nextInt(9_000);
      boolean free = true;
      for (int port = base; free && port < base + 24; port++) {
        free = isFree(port);
      }
      if (free) {
        return new int[] {base, base + 1, base + 2, base + 8, base + 3};
      }
    }
    throw new IOException("no free ports");
  }

  /** Whether no loopback address that a machine of the site may have uses the port. */
  private boolean isFree(int port) {
    for (int number = 1; number < 255; number++) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(ip(number), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  int replicaPort() {
    return controlPort + 4;
  }

  private void readCommands() throws IOException {
    String text = Files.readString(root.resolve("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\.(\\w+)\\]\\s*run = \"([^\"]*)\"").matcher(text);
    while (matcher.find()) {
      commands.put(matcher.group(1), Arrays.asList(matcher.group(2).split(" ")));
    }
  }

  List<String> command(Machine machine) {
    List<String> command = commands.get(machine.core ? "control" : "entry");
    if (command == null) {
      throw new IllegalStateException("deploy file has no such role");
    }
    return command;
  }

  String seeds() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < CORES; i++) {
      text.append(i == 0 ? "" : ",").append('"').append(ip(1 + i)).append(':');
      text.append(controlPort).append('"');
    }
    return text.toString();
  }

  void startAll() throws IOException {
    platform.start();
    for (Machine machine : cores) {
      machine.start();
    }
    for (Machine machine : entries) {
      machine.start();
    }
  }

  Replica addReplica(String id, String service, String zone, String stage) throws IOException {
    Replica replica =
        new Replica(this, id, service, ip(101 + replicas.size()), replicaPort(), zone, stage);
    replica.start();
    replicas.add(replica);
    return replica;
  }

  /** Sends a configuration until it is acknowledged; returns whether it was. */
  boolean publish(String document, int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    int turn = 0;
    while (System.nanoTime() < end) {
      Machine core = cores.get(turn++ % cores.size());
      try {
        Answer answer =
            Client.once(
                core.ip,
                controlPort,
                "PUT",
                "/api/config",
                List.of("Content-Type: application/json"),
                document.getBytes(StandardCharsets.UTF_8),
                2_000);
        recorder.line("operator PUT to " + core.name + " -> " + answer.status);
        if (answer.status == 200) {
          return true;
        }
      } catch (IOException e) {
        recorder.line("operator PUT to " + core.name + " -> " + e);
      }
      Thread.sleep(300);
    }
    return false;
  }

  boolean awaitReady(int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (Machine entry : entries) {
      while (!entry.ready()) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  @Override
  public void close() {
    for (Machine machine : entries) {
      machine.destroy();
    }
    for (Machine machine : cores) {
      machine.destroy();
    }
    platform.close();
    replicas.forEach(Replica::close);
  }

  /** Settings and commands of one machine and its process. */
  static final class Machine {
    final Site site;
    final String name;
    final String ip;
    final String zone;
    final boolean core;
    Process process;
    int starts;

    Machine(Site site, String name, String ip, String zone, boolean core) {
      this.site = site;
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.core = core;
    }

    private String settings() {
      String listen =
          core
              ? "{\"control\":\"" + ip + ":" + site.controlPort + "\"}"
              : "{\"front\":\"" + ip + ":" + site.frontPort + "\",\"ready\":\"" + ip + ":"
                  + site.readyPort + "\"}";
      return "{\"node\":\"" + name + "\",\"role\":\"" + (core ? "control" : "entry")
          + "\",\"machineClass\":\"" + (core ? "core" : "edge") + "\",\"serves\":[\""
          + (core ? "control_plane" : "edge") + "\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone
          + "\",\"region\":\"region\",\"zones\":{\"zone-a\":\"region\",\"zone-b\":\"region\","
          + "\"zone-c\":\"region\"},\"listen\":" + listen + ",\"internalPortRange\":["
          + site.internalPort + "," + (site.internalPort + 15) + "],\"seeds\":[" + site.seeds()
          + "],\"bootstrap\":" + (starts == 0) + ",\"lossCounts\":" + core
          + ",\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":430,"
          + "\"maxFileDescriptors\":4100,\"linkMbps\":1000.0,\"diskMb\":" + (core ? 128 : 0)
          + "},\"dataDir\":" + (core ? "\"" + site.folder.resolve(name) + "\"" : "null")
          + ",\"discovery\":\"cloud_api\",\"entry\":\"virtual_ip\",\"heartbeatMs\":1200,"
          + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\","
          + "\"stream\",\"engine\",\"tenants\",\"leader\"],\"faultTolerance\":{\"machines\":1,"
          + "\"zones\":1,\"regions\":0},\"bounds\":{\"seedLagS\":3,\"addressReuseS\":2,"
          + "\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":3000,\"graceS\":8,"
          + "\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
          + "\"maxStretchMs\":5000,\"failClosed\":false,\"revokeMs\":5000,"
          + "\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":58,"
          + "\"fencingRequired\":true,\"leaseMs\":3000,\"thawMs\":300,\"usageWindowS\":5,"
          + "\"usageTolerance\":0.05,\"usageLateS\":10,\"recoveryS\":12,\"transitMs\":120,"
          + "\"retryAfterS\":9.5},\"configMode\":\"highest\",\"cloud\":{\"address\":\""
          + site.platform.address() + "\",\"ratePerS\":47.0,\"duties\":[\"usage_reporting\","
          + "\"autoscaling\"],\"lagMs\":800,\"dutyPerS\":50.0}}";
    }

    synchronized void start() throws IOException {
      if (core) {
        Files.createDirectories(site.folder.resolve(name));
      }
      Path settings = site.folder.resolve(name + ".json");
      Files.writeString(settings, settings());
      ProcessBuilder builder = new ProcessBuilder(site.command(this));
      builder.directory(site.root.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("TEASELTRESTLE_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(site.folder.resolve(name + ".log").toFile()));
      process = builder.start();
      starts++;
      site.recorder.line("start " + name + " pid " + process.pid());
    }

    boolean ready() {
      try {
        return Client.once(ip, site.readyPort, "GET", "/api/readiness", List.of(), null, 1_000)
                .status
            == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void signal(String name) throws IOException, InterruptedException {
      site.recorder.line("signal " + name + " to " + this.name);
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean alive() {
      return process != null && process.isAlive();
    }

    void destroy() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    Path log() {
      return site.folder.resolve(name + ".log");
    }
  }
}

/** Writes what was sent, answered and run, with the time since the start. */
final class Recorder implements AutoCloseable {
  private final java.io.PrintWriter out;
  private final long start = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new java.io.PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}

/** A request as a stand-in received it. */
final class Received {
  String method;
  String target;
  final List<String> lines = new ArrayList<>();
  byte[] body = new byte[0];

  String header(String name) {
    for (String line : lines) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
        return line.substring(colon + 1).strip();
      }
    }
    return null;
  }

  static Received read(InputStream in) throws IOException {
    Received received = new Received();
    String first = Wire.line(in);
    if (first == null) {
      return null;
    }
    String[] words = first.split(" ", 3);
    received.method = words[0];
    received.target = words.length > 1 ? words[1] : "";
    for (String line = Wire.line(in); line != null && !line.isEmpty(); line = Wire.line(in)) {
      received.lines.add(line);
    }
    String length = received.header("Content-Length");
    if (length != null) {
      received.body = in.readNBytes(Integer.parseInt(length));
    } else if ("chunked".equalsIgnoreCase(received.header("Transfer-Encoding"))) {
      received.body = Wire.chunks(in);
    }
    return received;
  }
}

/** Reading of HTTP/1.1. */
final class Wire {
  private Wire() {}

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = in.read();
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("connection ended within a chunked body");
      }
      int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
      byte[] data = in.readNBytes(bytes);
      if (data.length < bytes) {
        throw new EOFException("connection ended within a chunk");
      }
      body.write(data);
      line(in);
      if (bytes == 0) {
        return body.toByteArray();
      }
    }
  }
}

/** The platform: list of replicas, usage reports and orders for replicas. */
final class Platform implements AutoCloseable {
  private final Site site;
  private final ServerSocket server;
  final List<String> calls = new CopyOnWriteArrayList<>();
  volatile boolean closed;

  Platform(Site site, int port) throws IOException {
    this.site = site;
    server = new ServerSocket(port, 200, InetAddress.getByName(site.ip(250)));
  }

  String address() {
    return site.ip(250) + ":" + server.getLocalPort();
  }

  void start() {
    Threads.daemon("platform", this::accept);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        Threads.daemon("platform-call", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Received request = Received.read(new BufferedInputStream(socket.getInputStream()));
      if (request == null) {
        return;
      }
      String body = "{}";
      if (request.target.startsWith("/instances")) {
        StringBuilder list = new StringBuilder();
        for (Replica replica : site.replicas) {
          if (replica.listed) {
            list.append(list.length() == 0 ? "" : ",").append(replica.listEntry());
          }
        }
        body = "{\"instances\":[" + list + "],\"next\":null}";
      } else {
        String call =
            request.method + " " + request.target + " holder " + request.header("X-Duty-Holder")
                + " token " + request.header("X-Fencing-Token") + " "
                + new String(request.body, StandardCharsets.UTF_8);
        calls.add(call);
        site.recorder.line("platform " + call);
      }
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      socket
          .getOutputStream()
          .write(
              ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + bytes.length + "\r\nConnection: close\r\n\r\n" + body)
                  .getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // The caller has left.
      return;
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException e) {
      return;
    }
  }
}

/** Threads that do not keep the process alive. */
final class Threads {
  private Threads() {}

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}

/** A replica: sound unless a hook says otherwise. */
final class Replica implements AutoCloseable {

  /** Serves a request in another way; returns whether it did. */
  interface Hook {
    boolean serve(Replica replica, Received request, Socket socket, OutputStream out)
        throws IOException, InterruptedException;
  }

  static final AtomicLong STAMPS = new AtomicLong(1);

  final Site site;
  final String id;
  final String service;
  final String ip;
  final int port;
  final String zone;
  final long born = System.currentTimeMillis();
  volatile String stage;
  volatile boolean listed = true;
  volatile String state = "ready";
  volatile Hook hook;
  volatile int workMillis = 60;
  volatile int events = 8;
  volatile int gapMillis = 20;
  final AtomicInteger running = new AtomicInteger();
  final AtomicInteger orders = new AtomicInteger();

  /** Runs by request id. */
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  private ServerSocket server;

  Replica(Site site, String id, String service, String ip, int port, String zone, String stage) {
    this.site = site;
    this.id = id;
    this.service = service;
    this.ip = ip;
    this.port = port;
    this.zone = zone;
    this.stage = stage;
  }

  void start() throws IOException {
    server = new ServerSocket(port, 400, InetAddress.getByName(ip));
    ServerSocket listening = server;
    Threads.daemon(id, () -> accept(listening));
  }

  String listEntry() {
    String engine =
        stage == null
            ? ""
            : ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                + "\"adapters\":[]}]";
    return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\""
        + zone + "\",\"version\":\"v1\",\"slots\":" + (stage == null ? 6 : 64) + ",\"state\":\""
        + state + "\",\"coldRemainingMs\":0" + engine + ",\"id\":\"" + id + "\",\"born\":" + born
        + "}";
  }

  private void accept(ServerSocket listening) {
    while (!listening.isClosed()) {
      try {
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        Threads.daemon(id + "-call", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Received request = Received.read(new BufferedInputStream(socket.getInputStream()));
      if (request == null) {
        return;
      }
      OutputStream out = socket.getOutputStream();
      String requestId = request.header("X-Request-Id");
      String expected = request.header("X-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        plain(out, 421, requestId, "X-Not-Executed: 1\r\n", "");
      } else if (request.target.startsWith("/api/order")) {
        order(request, out);
      } else if (request.target.startsWith("/api/") || request.target.equals("/health")) {
        plain(out, 200, null, "X-Load-Report: " + load() + "\r\n", report());
      } else if (hook == null || !hook.serve(this, request, socket, out)) {
        run(request, requestId, out);
      }
    } catch (IOException e) {
      // The caller has left.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void order(Received request, OutputStream out) throws IOException {
    orders.incrementAndGet();
    String body = new String(request.body, StandardCharsets.UTF_8);
    site.recorder.line("order at " + id + " " + body);
    String next = body.contains("\"stage\":\"prefill\"") ? "prefill" : "decode";
    int status = next.equals(stage) ? 200 : 202;
    stage = next;
    plain(out, status, null, "", "{}");
  }

  private String report() {
    return "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
        + "\"busy\":false,\"sequence\":" + orders.get() + ",\"queued\":0,\"active\":"
        + running.get() + ",\"kvUsed\":0,\"kvTotal\":500000,\"kvHandles\":0,\"born\":" + born + "}";
  }

  String load() {
    return running.get() + ",0," + (stage == null ? 6 : 64);
  }

  String stamp() {
    return "st." + id + "." + STAMPS.getAndIncrement();
  }

  void ran(String requestId) {
    runs.computeIfAbsent(String.valueOf(requestId), key -> new AtomicInteger()).incrementAndGet();
  }

  private void run(Received request, String requestId, OutputStream out)
      throws IOException, InterruptedException {
    running.incrementAndGet();
    try {
      if (stage != null) {
        runEngine(request, requestId, out);
      } else {
        ran(requestId);
        Thread.sleep(workMillis);
        plain(
            out,
            200,
            requestId,
            "X-Response-Stamp: " + stamp() + "\r\nX-Load-Report: " + load() + "\r\n",
            "answer to " + requestId);
      }
    } finally {
      running.decrementAndGet();
    }
  }

  private void runEngine(Received request, String requestId, OutputStream out)
      throws IOException, InterruptedException {
    if ("prefill".equals(request.header("X-Stage"))) {
      if (!stage.equals("prefill")) {
        plain(out, 421, requestId, "X-Not-Executed: 1\r\n", "");
        return;
      }
      Thread.sleep(20);
      plain(
          out,
          200,
          requestId,
          "X-Load-Report: " + load() + "\r\n",
          "{\"kvHandle\":\"h" + STAMPS.getAndIncrement() + "\",\"tokens\":100,\"version\":1}");
      return;
    }
    if (!stage.equals("decode")) {
      plain(out, 421, requestId, "X-Not-Executed: 1\r\n", "");
      return;
    }
    ran(requestId);
    Thread.sleep(workMillis);
    streamHead(out, requestId);
    String last = request.header("Last-Event-Id");
    int from = last == null ? 1 : Integer.parseInt(last) + 1;
    for (int event = from; event <= events; event++) {
      chunk(out, "id: " + event + "\ndata: " + requestId + "-" + event + "\n\n");
      Thread.sleep(gapMillis);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  void streamHead(OutputStream out, String requestId) throws IOException {
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + id
                + "\r\nX-Response-Stamp: " + stamp() + "\r\nX-Weight-Versions: 1\r\n"
                + "X-Load-Report: " + load() + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream chunk = new ByteArrayOutputStream();
    chunk.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    chunk.write(bytes);
    chunk.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.write(chunk.toByteArray());
    out.flush();
  }

  void plain(OutputStream out, int status, String requestId, String fields, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    out.write(
        ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length + "\r\nX-Instance-Id: " + id + "\r\n"
                + (requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n") + fields
                + "Connection: close\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(bytes);
    out.flush();
  }

  @Override
  public void close() {
    try {
      if (server != null) {
        server.close();
      }
    } catch (IOException e) {
      return;
    }
  }
}

/** A response as a client received it; complete only if it ended by its length or last chunk. */
final class Answer {
  int status;
  final List<String> lines = new ArrayList<>();
  byte[] body = new byte[0];

  String header(String name) {
    for (String line : lines) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
        return line.substring(colon + 1).strip();
      }
    }
    return null;
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}

/** A client with one connection, kept until it is closed. */
final class Client implements AutoCloseable {
  final Socket socket = new Socket();
  final InputStream in;
  final OutputStream out;

  Client(String ip, int port, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress(ip, port), 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static Answer once(
      String ip,
      int port,
      String method,
      String target,
      List<String> fields,
      byte[] body,
      int timeoutMillis)
      throws IOException {
    try (Client client = new Client(ip, port, timeoutMillis)) {
      List<String> all = new ArrayList<>(fields);
      all.add("Connection: close");
      return client.call(method, target, all, body);
    }
  }

  Answer call(String method, String target, List<String> fields, byte[] body) throws IOException {
    send(method, target, fields, body);
    return receive(method);
  }

  void send(String method, String target, List<String> fields, byte[] body) throws IOException {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    boolean hasHost = false;
    for (String field : fields) {
      head.append(field).append("\r\n");
      hasHost |= field.toLowerCase(Locale.ROOT).startsWith("host:");
    }
    if (!hasHost) {
      head.append("Host: ").append(Site.HOST).append("\r\n");
    }
    if (body != null) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    if (body != null) {
      message.write(body);
    }
    out.write(message.toByteArray());
    out.flush();
  }

  Answer receive(String method) throws IOException {
    Answer answer = new Answer();
    String first = Wire.line(in);
    if (first == null) {
      throw new EOFException("connection closed without an answer");
    }
    answer.status = Integer.parseInt(first.split(" ")[1]);
    for (String line = Wire.line(in); line != null && !line.isEmpty(); line = Wire.line(in)) {
      answer.lines.add(line);
    }
    String length = answer.header("Content-Length");
    if (method.equals("HEAD") || answer.status == 204 || answer.status == 304) {
      return answer;
    }
    if (length != null) {
      int bytes = Integer.parseInt(length);
      answer.body = in.readNBytes(bytes);
      if (answer.body.length < bytes) {
        throw new EOFException("connection ended within a body");
      }
    } else if ("chunked".equalsIgnoreCase(answer.header("Transfer-Encoding"))) {
      answer.body = Wire.chunks(in);
    } else {
      answer.body = in.readAllBytes();
    }
    return answer;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      return;
    }
  }
}
