package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.util.List;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.teaseltrestle.node.port.HttpSyntax;

/** Rejects responses that are not final or do not state unambiguously where they end. */
final class ResponseHeads {

  private static final int MAXIMUM_LENGTH_DIGITS = 18;

  private ResponseHeads() {}

  /**
   * Receives the head of a response and checks it.
   *
   * @throws MalformedResponseException if the status is not that of a final response, or the
   *     framing is contradictory
   */
  static Response receive(Interceptor.Chain chain) throws IOException {
    Response response;
    try {
      response = chain.proceed(chain.request());
    } catch (IllegalStateException e) {
      // OkHttp skips one interim response and fails this way at the next.
      throw new MalformedResponseException("more than one interim response");
    }
    check(response);
    return response;
  }

  private static void check(Response response) throws MalformedResponseException {
    if (!HttpSyntax.isFinalStatus(response.code())) {
      throw new MalformedResponseException("no final response: status " + response.code());
    }
    List<String> lengths = response.headers("Content-Length");
    List<String> encodings = response.headers("Transfer-Encoding");
    boolean hasValidLength =
        lengths.stream().distinct().count() <= 1
            && lengths.stream().allMatch(ResponseHeads::isLength);
    boolean hasValidEncoding =
        encodings.isEmpty()
            || (encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked"));
    boolean hasBoth = !lengths.isEmpty() && !encodings.isEmpty();
    if (!hasValidLength || !hasValidEncoding || hasBoth) {
      throw new MalformedResponseException(
          "response has " + lengths.size() + " lengths and " + encodings.size() + " encodings");
    }
  }

  private static boolean isLength(String value) {
    return !value.isEmpty()
        && value.length() <= MAXIMUM_LENGTH_DIGITS
        && value.chars().allMatch(character -> character >= '0' && character <= '9');
  }
}
