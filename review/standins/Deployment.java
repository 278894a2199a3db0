import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Starts the project's own programs as separate processes with the commands of the deploy file. Each
 * machine has a loopback address of its own; the ports are the same on all machines.
 */
final class Deployment implements AutoCloseable {

  static final int FRONT = 8368;
  static final int READY = 8369;
  static final int CONTROL = 8367;
  static final int PLATFORM = 8362;
  static final int INTERNAL = 7780;

  final Path repository;
  final Path folder;
  final String network;
  final Record record;
  private final List<Process> started = new java.util.concurrent.CopyOnWriteArrayList<>();
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final List<String> zones = List.of("zone-a", "zone-b", "zone-c");

  /** One machine with one process. */
  final class Machine {
    final String name;
    final String role;
    final String address;
    final int zone;
    Process process;
    boolean first = true;

    Machine(String name, String role, String address, int zone) {
      this.name = name;
      this.role = role;
      this.address = address;
      this.zone = zone;
    }

    boolean isControl() {
      return role.equals("control");
    }

    void start() throws IOException {
      Path settings = folder.resolve(name + ".json");
      Files.writeString(settings, settings(this));
      ProcessBuilder builder = new ProcessBuilder(command(role));
      builder.directory(repository.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("TEASELTRESTLE_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
      started.add(process);
      first = false;
      record.add("machine", name + " started at " + address + ", pid " + process.pid());
    }

    Path log() {
      return folder.resolve(name + ".log");
    }

    String logText() throws IOException {
      return Files.exists(log()) ? Files.readString(log(), StandardCharsets.UTF_8) : "";
    }

    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor();
      record.add("machine", name + " killed with SIGKILL");
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      record.add("machine", name + " received SIG" + signal);
    }
  }

  Deployment(Record record) throws IOException {
    this.record = record;
    this.repository = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("teaseltrestle-review");
    this.network = freeNetwork();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  Machine add(String role, int number, int zone) {
    int host = (role.equals("control") ? 10 : 20) + number;
    String name = (role.equals("control") ? "core-" : "edge-") + zones.get(zone) + "-" + number;
    Machine machine = new Machine(name, role, network + "." + host, zone);
    machines.put(name, machine);
    return machine;
  }

  void startAll() throws IOException {
    for (Machine machine : machines.values()) {
      machine.start();
    }
  }

  List<Machine> controls() {
    return machines.values().stream().filter(Machine::isControl).toList();
  }

  List<Machine> entries() {
    return machines.values().stream().filter(machine -> !machine.isControl()).toList();
  }

  String platformAddress() {
    return network + ".90";
  }

  /** Sends a configuration until it is acknowledged, to any node, as the operator does. */
  Http.Response publish(String document, long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    List<Machine> controls = controls();
    Http.Response last = null;
    for (int i = 0; System.nanoTime() < end; i++) {
      Machine target = controls.get(i % controls.size());
      last =
          Http.send(target.address, CONTROL, "PUT", "/api/config",
              Map.of("Host", "operator", "Content-Type", "application/json"),
              document.getBytes(StandardCharsets.UTF_8), 1_000);
      record.add("operator", "PUT /api/config at " + target.name + " -> " + last);
      if (last.status >= 200 && last.status < 500) {
        return last;
      }
      Thread.sleep(300);
    }
    return last;
  }

  /** Waits until the readiness address of a node answers 200. */
  boolean awaitReady(Machine machine, long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (System.nanoTime() < end) {
      if (Http.send(machine.address, READY, "GET", "/api/readiness", Map.of("Host", "platform"),
              new byte[0], 1_000).status == 200) {
        record.add("platform", machine.name + " is ready");
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private synchronized void killAll() {
    for (Process process : started) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() {
    killAll();
    for (Machine machine : machines.values()) {
      if (machine.process != null) {
        try {
          machine.process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs in " + folder);
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      System.err.println("cannot remove " + folder + ": " + e);
    }
  }

  private List<String> command(String role) throws IOException {
    String text = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
    if (!matcher.find()) {
      throw new IOException("deploy/system.toml has no role " + role);
    }
    return List.of(matcher.group(1).trim().split(" +"));
  }

  private String settings(Machine machine) throws IOException {
    boolean control = machine.isControl();
    String seeds =
        controls().stream().limit(3).map(each -> '"' + each.address + ":" + CONTROL + '"')
            .collect(Collectors.joining(","));
    String listen =
        control
            ? "\"control\":\"" + machine.address + ":" + CONTROL + "\""
            : "\"front\":\"" + machine.address + ":" + FRONT + "\",\"ready\":\"" + machine.address
                + ":" + READY + "\"";
    String data = "null";
    if (control) {
      Path disk = folder.resolve("disk-" + machine.name);
      Files.createDirectories(disk);
      data = '"' + disk.toString() + '"';
    }
    String zoneTable =
        zones.stream().map(zone -> '"' + zone + "\":\"region-1\"").collect(Collectors.joining(","));
    return "{\"node\":\"" + machine.name + "\",\"role\":\"" + machine.role + "\",\"machineClass\":\""
        + (control ? "core" : "edge") + "\",\"serves\":[\"" + (control ? "control_plane" : "edge")
        + "\"],\"ip\":\"" + machine.address + "\",\"zone\":\"" + zones.get(machine.zone)
        + "\",\"region\":\"region-1\",\"zones\":{" + zoneTable + "},\"listen\":{" + listen
        + "},\"internalPortRange\":[" + INTERNAL + "," + (INTERNAL + 15) + "],\"seeds\":[" + seeds
        + "],\"bootstrap\":" + machine.first + ",\"lossCounts\":" + control
        + ",\"limits\":{\"cpuShare\":0.9,\"cores\":1,\"memoryMb\":430,\"maxFileDescriptors\":4100,"
        + "\"linkMbps\":1000.0,\"diskMb\":" + (control ? 128 : 0) + "},\"dataDir\":" + data
        + ",\"discovery\":\"cloud_api\",\"entry\":\"virtual_ip\",\"heartbeatMs\":1200,"
        + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\","
        + "\"stream\",\"engine\",\"tenants\",\"leader\"],\"faultTolerance\":{\"machines\":1,"
        + "\"zones\":1,\"regions\":0},\"bounds\":{\"seedLagS\":3,\"addressReuseS\":2,"
        + "\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":3000,\"graceS\":8,"
        + "\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,"
        + "\"failClosed\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,"
        + "\"budgetSlack\":58,\"fencingRequired\":true,\"leaseMs\":3000,\"thawMs\":300,"
        + "\"usageWindowS\":5,\"usageTolerance\":0.05,\"usageLateS\":10,\"recoveryS\":12,"
        + "\"transitMs\":120,\"retryAfterS\":9.5},\"configMode\":\"highest\",\"cloud\":{\"address\":\""
        + platformAddress() + ":" + PLATFORM + "\",\"ratePerS\":47.0,\"duties\":"
        + "[\"usage_reporting\",\"autoscaling\"],\"lagMs\":800,\"dutyPerS\":50.0}}";
  }

  /** Returns a loopback network of which the ports that this deployment uses are free. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String network =
          "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
      try {
        for (int host : new int[] {11, 12, 13, 14, 15, 21, 41, 42, 43, 90}) {
          for (int port : new int[] {FRONT, READY, CONTROL, PLATFORM, INTERNAL, INTERNAL + 1}) {
            try (ServerSocket socket = new ServerSocket()) {
              socket.bind(new InetSocketAddress(network + "." + host, port));
            }
          }
        }
        return network;
      } catch (IOException e) {
        // Another network is tried.
      }
    }
    throw new IOException("no free loopback network");
  }

  static List<String> lines(String text, String part) {
    List<String> found = new ArrayList<>();
    for (String line : text.split("\n")) {
      if (line.contains(part)) {
        found.add(line);
      }
    }
    return found;
  }
}
