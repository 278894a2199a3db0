package org.teaseltrestle.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the difference between successive versions of a configuration. */
public final class DocumentDifferenceTest {

  private static final int ROUTES = 1_400;

  /** Returns the routes of a configuration of a site with many of them, some 270 bytes each. */
  private static List<String> routes(int count, Random random) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      routes.add(route(i, random));
    }
    return routes;
  }

  private static String route(int number, Random random) {
    return """
    {"route": "team-%04d/%08x", "path": "/v1/teams/%04d/chat/completions", "pool": "pool-%02d", \
    "service": "service-%03d", "plan": "%s", "timeout_milliseconds": %d, \
    "retry": {"maximum_attempts": %d, "budget": 0.%02d}, "weights": [%d, %d], "idle_seconds": %d}\
    """
        .formatted(
            number,
            random.nextInt(),
            number,
            random.nextInt(40),
            random.nextInt(200),
            random.nextBoolean() ? "standard" : "large",
            1_000 + random.nextInt(60_000),
            1 + random.nextInt(4),
            random.nextInt(100),
            random.nextInt(100),
            random.nextInt(100),
            random.nextInt(600));
  }

  private static ByteString configuration(long version, List<String> routes) {
    return ByteString.copyFromUtf8(
        "{\"version\": "
            + version
            + ", \"site\": \"trawst\", \"routes\": [\n"
            + String.join(",\n", routes)
            + "\n]}\n");
  }

  /** Returns the difference after checking that it leads from the base to the target. */
  private static ByteString roundTrip(ByteString base, ByteString target) {
    ByteString difference = DocumentDifference.between(base, target);
    assertEquals(DocumentDifference.apply(base, difference), target);
    return difference;
  }

  private static ByteString randomBytes(Random random, int size) {
    byte[] bytes = new byte[size];
    random.nextBytes(bytes);
    return ByteString.copyFrom(bytes);
  }

  /** Documents that differ in any way. */
  public static final class RoundTrips {

    private static final int EDITED_DOCUMENTS = 400;
    private static final int MAXIMUM_EDITS = 6;

    /** Kinds of documents, from none of whose bytes repeat to nothing but repetitions. */
    @DataProvider
    public Object[][] alphabets() {
      return new Object[][] {{1}, {2}, {4}, {26}, {256}};
    }

    /** Guards against a follower whose configuration is not the one that was committed. */
    @Test(dataProvider = "alphabets")
    public void editedDocumentsAreRestored(int alphabet) {
      Random random = new Random(52 + alphabet);
      for (int i = 0; i < EDITED_DOCUMENTS; i++) {
        ByteString base = text(random, alphabet, random.nextInt(600));
        ByteString target = base;
        for (int edit = random.nextInt(MAXIMUM_EDITS); edit >= 0; edit--) {
          target = edited(random, alphabet, target);
        }
        roundTrip(base, target);
        roundTrip(target, base);
      }
    }

    /** Guards against edits of whole routes, the usual change, that are put together wrongly. */
    @Test
    public void editedRoutesAreRestored() {
      Random random = new Random(53);
      List<String> routes = routes(60, random);
      ByteString base = configuration(1, routes);
      for (int version = 2; version < 300; version++) {
        editRoutes(random, routes);
        ByteString target = configuration(version, routes);
        roundTrip(base, target);
        base = target;
      }
    }

    /** Guards against sizes around that of a block, where prefix and suffix could overlap. */
    @Test
    public void smallDocumentsAreRestored() {
      Random random = new Random(54);
      for (int baseSize = 0; baseSize <= 50; baseSize++) {
        for (int targetSize = 0; targetSize <= 50; targetSize++) {
          roundTrip(text(random, 2, baseSize), text(random, 2, targetSize));
          roundTrip(constant('a', baseSize), constant('a', targetSize));
        }
      }
    }

    /** Guards against the first configuration, which has no base, and the last, which is empty. */
    @Test
    public void emptyDocumentsAreRestored() {
      ByteString document = configuration(1, routes(20, new Random(55)));
      roundTrip(ByteString.EMPTY, ByteString.EMPTY);
      roundTrip(document, ByteString.EMPTY);
      assertTrue(roundTrip(ByteString.EMPTY, document).size() < document.size());
    }

    /** Guards against a republished configuration that goes whole. */
    @Test
    public void equalDocumentsHaveTinyDifference() {
      ByteString document = configuration(1, routes(ROUTES, new Random(56)));
      assertTrue(roundTrip(document, document).size() < 40);
    }

    /** Guards against bytes that are taken for signed ones, or for text. */
    @Test
    public void binaryDocumentsAreRestored() {
      Random random = new Random(57);
      ByteString base = randomBytes(random, 100_000);
      ByteString inserted =
          base.substring(0, 40_000).concat(randomBytes(random, 33)).concat(base.substring(40_000));
      assertTrue(roundTrip(base, inserted).size() < 200);
      roundTrip(base, randomBytes(random, 90_000));
      // Both halves begin inside of a block of the base.
      ByteString swapped = base.substring(59_993).concat(base.substring(0, 59_993));
      assertTrue(roundTrip(base, swapped).size() < 200);
    }

    /** Guards against a document whose bytes are held in several pieces. */
    @Test
    public void documentInPiecesIsRestored() {
      Random random = new Random(58);
      ByteString base = ByteString.EMPTY;
      for (int i = 0; i < 40; i++) {
        base = base.concat(randomBytes(random, 700));
      }
      ByteString target = base.substring(0, 9_999).concat(base.substring(10_001));
      ByteString difference = roundTrip(base, target);
      ByteString inPieces = difference.substring(0, 9).concat(difference.substring(9));
      assertEquals(DocumentDifference.apply(base, inPieces), target);
    }

    /** Guards against a difference that depends on anything but the two documents. */
    @Test
    public void differenceIsTheSameEachTime() {
      Random random = new Random(59);
      ByteString base = text(random, 4, 5_000);
      ByteString target = edited(random, 4, edited(random, 4, base));
      assertEquals(
          DocumentDifference.between(base, target), DocumentDifference.between(base, target));
    }

    private static void editRoutes(Random random, List<String> routes) {
      int at = random.nextInt(routes.size());
      switch (random.nextInt(5)) {
        case 0 -> routes.add(at, route(1_000 + random.nextInt(1_000), random));
        case 1 -> routes.remove(at);
        case 2 -> routes.set(at, route(at, random));
        case 3 -> routes.add(random.nextInt(routes.size()), routes.remove(at));
        default -> routes.add(random.nextInt(routes.size()), routes.get(at));
      }
    }

    private static ByteString edited(Random random, int alphabet, ByteString document) {
      int start = random.nextInt(document.size() + 1);
      int end = start + random.nextInt(document.size() - start + 1);
      ByteString before = document.substring(0, start);
      ByteString part = document.substring(start, end);
      ByteString after = document.substring(end);
      ByteString added = text(random, alphabet, random.nextInt(80));
      return switch (random.nextInt(5)) {
        case 0 -> before.concat(added).concat(document.substring(start));
        case 1 -> before.concat(after);
        case 2 -> before.concat(added).concat(after);
        case 3 -> part.concat(before).concat(after);
        default ->
            document.size() > 10_000
                ? document.substring(0, 600)
                : document.concat(part).concat(added);
      };
    }

    private static ByteString text(Random random, int alphabet, int size) {
      byte[] bytes = new byte[size];
      for (int i = 0; i < size; i++) {
        bytes[i] = (byte) ('a' + random.nextInt(alphabet));
      }
      return ByteString.copyFrom(bytes);
    }

    private static ByteString constant(char letter, int size) {
      byte[] bytes = new byte[size];
      Arrays.fill(bytes, (byte) letter);
      return ByteString.copyFrom(bytes);
    }
  }

  /** The size of what a parent sends for a usual change of a large configuration. */
  public static final class Sizes {

    private static final int MAXIMUM_BYTES = 2_000;

    /** Changes that leave nearly all routes as they were. */
    @DataProvider
    public Object[][] changes() {
      return new Object[][] {
        {"version only", change((routes, random) -> routes)},
        {"added at the front", change((routes, random) -> added(routes, 0, random))},
        {"added inside", change((routes, random) -> added(routes, 700, random))},
        {"added at the end", change((routes, random) -> added(routes, ROUTES, random))},
        {"removed at the front", change((routes, random) -> removed(routes, 0))},
        {"removed inside", change((routes, random) -> removed(routes, 700))},
        {"removed at the end", change((routes, random) -> removed(routes, ROUTES - 1))},
        {"moved to the end", change((routes, random) -> moved(routes, 3, ROUTES - 1))},
        {"moved to the front", change((routes, random) -> moved(routes, ROUTES - 2, 0))},
        {"moved by one", change((routes, random) -> moved(routes, 700, 701))},
        {"replaced", change((routes, random) -> added(removed(routes, 900), 900, random))},
        {"duplicated", change((routes, random) -> duplicated(routes, 10, 1_200))}
      };
    }

    /** Guards against a change of one route that takes the room of the whole configuration. */
    @Test(dataProvider = "changes")
    public void changeOfOneRouteIsSmall(String name, UnaryOperator<List<String>> change) {
      List<String> routes = routes(ROUTES, new Random(60));
      ByteString base = configuration(98, routes);
      assertTrue(base.size() > 350_000, base.size() + " bytes");
      int size = roundTrip(base, configuration(99, change.apply(routes))).size();
      assertTrue(size < MAXIMUM_BYTES, name + " takes " + size + " bytes");
    }

    private static UnaryOperator<List<String>> change(
        BiFunction<List<String>, Random, List<String>> change) {
      return routes -> change.apply(new ArrayList<>(routes), new Random(61));
    }

    private static List<String> added(List<String> routes, int at, Random random) {
      routes.add(at, route(ROUTES + 1, random));
      return routes;
    }

    private static List<String> removed(List<String> routes, int at) {
      routes.remove(at);
      return routes;
    }

    private static List<String> moved(List<String> routes, int from, int to) {
      routes.add(to, routes.remove(from));
      return routes;
    }

    private static List<String> duplicated(List<String> routes, int from, int to) {
      routes.add(to, routes.get(from));
      return routes;
    }
  }

  /** Differences that were damaged on their way or do not belong to the base. */
  public static final class Damage {

    private final List<String> routes = routes(30, new Random(62));
    private final ByteString base = configuration(1, routes);
    private final ByteString target = changed();
    private final ByteString difference = DocumentDifference.between(base, target);

    private ByteString changed() {
      List<String> changed = new ArrayList<>(routes);
      changed.add(7, route(77, new Random(63)));
      changed.remove(20);
      return configuration(2, changed);
    }

    /** Guards against a flipped bit that leads to a configuration that nobody published. */
    @Test
    public void flippedBitNeverLeadsToAnotherTarget() {
      int refused = 0;
      for (int i = 0; i < difference.size(); i++) {
        for (int bit = 0; bit < Byte.SIZE; bit++) {
          byte[] damaged = difference.toByteArray();
          damaged[i] ^= (byte) (1 << bit);
          refused += checkRefusedOrExact(base, ByteString.copyFrom(damaged)) ? 1 : 0;
        }
      }
      assertTrue(refused > difference.size() * Byte.SIZE * 9 / 10, refused + " refused");
    }

    /** Guards against damage that the checksum of the compression does not see. */
    @Test
    public void damageBeforeTheCompressionNeverLeadsToAnotherTarget() {
      byte[] plain = Compression.inflate(difference, 1 << 20);
      for (int i = 0; i < plain.length; i++) {
        for (int value : new int[] {0, 1, 0x7f, 0x80, 0xff, ~plain[i], plain[i] ^ 1}) {
          byte[] damaged = plain.clone();
          damaged[i] = (byte) value;
          checkRefusedOrExact(base, Compression.deflate(damaged));
        }
      }
      for (int size = 0; size < plain.length; size++) {
        assertRefused(base, Compression.deflate(Arrays.copyOf(plain, size)));
      }
    }

    /** Guards against random parts that reach outside of the documents. */
    @Test
    public void randomPartsNeverLeadToAnotherTarget() {
      Random random = new Random(64);
      byte[] plain = Compression.inflate(difference, 1 << 20);
      for (int i = 0; i < 20_000; i++) {
        byte[] damaged = Arrays.copyOf(plain, 8 + random.nextInt(plain.length));
        // The size and the checksum of the target stay as they are.
        for (int at = 8; at < damaged.length; at++) {
          damaged[at] = random.nextInt(4) == 0 ? (byte) random.nextInt() : damaged[at];
        }
        checkRefusedOrExact(base, Compression.deflate(damaged));
      }
    }

    /** Guards against a part of a difference that is taken for all of it. */
    @Test
    public void shortenedDifferenceIsRefused() {
      IntStream.range(0, difference.size())
          .forEach(size -> assertRefused(base, difference.substring(0, size)));
    }

    /** Guards against a difference that is applied to another configuration than its base. */
    @Test
    public void anotherBaseIsRefused() {
      List<String> others = new ArrayList<>(routes);
      others.set(3, route(3, new Random(65)));
      assertRefused(configuration(1, others), difference);
      assertRefused(base.substring(1), difference);
      assertRefused(base.substring(0, base.size() - 1), difference);
      assertRefused(target, difference);
      assertRefused(ByteString.EMPTY, difference);
    }

    /** Guards against bases that hold all that is repeated and yet lead to another target. */
    @Test
    public void similarBaseNeverLeadsToAnotherTarget() {
      checkRefusedOrExact(configuration(3, routes), difference);
      checkRefusedOrExact(base.concat(ByteString.copyFromUtf8(" ")), difference);
      checkRefusedOrExact(ByteString.copyFromUtf8(" ").concat(base), difference);
    }

    /** Guards against a message that holds no difference at all. */
    @Test
    public void bytesThatAreNoDifferenceAreRefused() {
      assertRefused(base, ByteString.EMPTY);
      assertRefused(base, target);
      assertRefused(base, Compression.deflate(new byte[0]));
      assertRefused(base, Compression.deflate("no difference".getBytes(StandardCharsets.UTF_8)));
      Random random = new Random(66);
      for (int i = 0; i < 2_000; i++) {
        assertRefused(base, Compression.deflate(randomBytes(random, i % 64).toByteArray()));
      }
    }

    private boolean checkRefusedOrExact(ByteString base, ByteString damaged) {
      try {
        assertEquals(DocumentDifference.apply(base, damaged), target);
        return false;
      } catch (TrestleException e) {
        assertEquals(e.code(), ErrorCode.DATA_CORRUPTED);
        return true;
      }
    }

    private static void assertRefused(ByteString base, ByteString damaged) {
      TrestleException refusal =
          expectThrows(TrestleException.class, () -> DocumentDifference.apply(base, damaged));
      assertEquals(refusal.code(), ErrorCode.DATA_CORRUPTED);
    }
  }
}
