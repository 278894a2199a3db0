package org.teaseltrestle.node.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;

/**
 * Selects the parent in the dissemination tree. A node asks other candidates for news beside its
 * parent and leaves the parent only for one that has told recent news, so that a change of the
 * parent costs no news and a candidate that is gone costs no time. It asks all others while the
 * news of its parent is old or the leader does not answer its renewals, and otherwise those that it
 * prefers to its parent. The questions carry renewals, and only a candidate through which the
 * leader has answered one takes the place of a parent that has recent news.
 *
 * <p>While a search goes on, it also asks other nodes that it knows, a few in each round: all
 * candidates may have been replaced while this node was cut off, and any node that is in touch
 * knows their successors.
 */
final class ParentSelector {

  private static final EventLog LOG = EventLog.of(ParentSelector.class);

  /** Time between the questions to two candidates. */
  private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time between two rounds of questions while the news of the parent is old. */
  private static final long SEARCH_ROUND_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time between two rounds of questions to preferred candidates. */
  private static final long PREFERENCE_ROUND_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time between two changes, except for recent news in place of old ones. */
  private static final long MINIMUM_STAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final DisseminationTreeSettings tree;

  /** Other nodes that are asked in each round of a search that goes on. */
  private static final int ACQUAINTANCES_PER_ROUND = 2;

  /** Time between two log lines about a search that has found no parent. */
  private static final long SEARCH_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Time after which a search that has found no parent is logged first. */
  private static final long FIRST_SEARCH_LOG_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAXIMUM_LOGGED_ANSWERS = 16;

  /** Candidates that have not answered the latest question; they are asked last. */
  private final Set<String> unanswered = new HashSet<>();

  /** Candidates to ask in the current round. */
  private final Deque<String> toAsk = new ArrayDeque<>();

  private List<String> candidates = List.of();

  /** Other nodes that may become the parent if no candidate has recent news. */
  private List<String> acquaintances = List.of();

  private int nextAcquaintance;
  private String parent = "";
  private KnownState parentNews = KnownState.UNKNOWN;
  private long parentContactNanos;

  /** Candidate that told news since the last update. */
  private @Nullable News contender;

  /** Candidate that sends its state and tells its news once it is asked for what follows. */
  private @Nullable String askAgain;

  /** Whether this node needs another parent, as of the last update. */
  private boolean searching;

  private long searchBeganNanos;
  private long nextSearchLogNanos;
  private long earliestChangeNanos;
  private long nextRoundNanos;
  private long nextQuestionNanos;

  /** Latest news of nodes that may become the parent. */
  private final Map<String, KnownState> told = new HashMap<>();

  private final AnsweredRenewals renewals;

  private record News(String sender, KnownState state) {}

  /**
   * What to do after an update.
   *
   * @param parentChanged whether the node has another parent now
   * @param asked candidates to subscribe to once, for their news
   */
  record Decision(boolean parentChanged, List<String> asked) {}

  ParentSelector(DisseminationTreeSettings tree, long nowNanos) {
    this.tree = tree;
    this.renewals = new AnsweredRenewals(tree.renewalTimeoutNanos(), nowNanos);
    this.parentContactNanos = nowNanos;
    this.searchBeganNanos = nowNanos;
    this.nextSearchLogNanos = nowNanos + FIRST_SEARCH_LOG_NANOS;
    this.earliestChangeNanos = nowNanos;
    this.nextRoundNanos = nowNanos;
    this.nextQuestionNanos = nowNanos;
  }

  /** Returns the parent, empty until a candidate has told news of a leader. */
  String parent() {
    return parent;
  }

  /**
   * Sets the possible parents.
   *
   * @param newCandidates candidates, the preferred one first
   * @param others other nodes, in the order in which they are asked if no candidate helps
   */
  void setCandidates(List<String> newCandidates, List<String> others) {
    candidates = List.copyOf(newCandidates);
    acquaintances = others.stream().filter(each -> !candidates.contains(each)).toList();
    unanswered.removeIf(each -> !mayBeParent(each));
    toAsk.removeIf(each -> !mayBeParent(each));
    told.keySet().removeIf(each -> !mayBeParent(each));
    renewals.retain(each -> mayBeParent(each) || each.equals(parent));
  }

  private boolean mayBeParent(String instance) {
    return candidates.contains(instance) || acquaintances.contains(instance);
  }

  /** Records a message without news of a leader, such as a part of the state. */
  void messageReceived(String sender, long nowNanos) {
    unanswered.remove(sender);
    if (sender.equals(parent)) {
      parentContactNanos = nowNanos;
    } else if (mayBeParent(sender)) {
      askAgain = sender;
      nextQuestionNanos = nowNanos + MINIMUM_STAY_NANOS;
    }
  }

  /** Records what a node knows that this one has subscribed to. */
  void newsReceived(String sender, KnownState news, long nowNanos) {
    unanswered.remove(sender);
    if (sender.equals(parent)) {
      parentContactNanos = nowNanos;
      parentNews = news;
    } else if (mayBeParent(sender) && news.isKnown()) {
      told.put(sender, news);
      consider(new News(sender, news));
    }
  }

  /**
   * Records that the leader answered a renewal of this node.
   *
   * @param sender node that passed the answer on
   * @param sentAtNanos monotonic time at which the renewal was sent
   */
  void renewalAnswered(String sender, long sentAtNanos) {
    renewals.answered(sender, sentAtNanos);
    KnownState news = told.get(sender);
    if (news != null && !sender.equals(parent)) {
      consider(new News(sender, news));
    }
  }

  private void consider(News news) {
    News other = contender;
    if (other == null || isPreferred(news.sender(), other.sender())) {
      contender = news;
    }
  }

  /**
   * Returns the monotonic time of the next update that is due without a message, in nanoseconds.
   */
  long nextUpdateNanos() {
    long nextQuestion = toAsk.isEmpty() ? nextRoundNanos : nextQuestionNanos;
    if (searching) {
      return nextQuestion;
    }
    long lost = earlier(newsAreOldAtNanos(), renewals.lostAtNanos());
    return earlier(lost, nextQuestion);
  }

  /** Selects the parent and the candidates to ask. */
  Decision update(long appliedIndex, long nowNanos) {
    boolean changed = followContender(appliedIndex, nowNanos);
    boolean needsOther = !hasNews(nowNanos) || isPathLost(nowNanos);
    if (needsOther != searching || changed) {
      searching = needsOther;
      searchBeganNanos = nowNanos;
      nextSearchLogNanos = nowNanos + FIRST_SEARCH_LOG_NANOS;
      toAsk.clear();
      nextRoundNanos = searching ? nowNanos : nowNanos + PREFERENCE_ROUND_NANOS;
      if (searching && !changed) {
        logSearchBegins(appliedIndex, nowNanos);
      }
    }
    if (searching && nowNanos - nextSearchLogNanos >= 0) {
      nextSearchLogNanos = nowNanos + SEARCH_LOG_INTERVAL_NANOS;
      logSearch(appliedIndex, nowNanos);
    }
    return new Decision(changed, takeQuestions(nowNanos));
  }

  private static long earlier(long nanos, long otherNanos) {
    return nanos - otherNanos < 0 ? nanos : otherNanos;
  }

  private boolean hasNews(long nowNanos) {
    return !parent.isEmpty() && nowNanos - newsAreOldAtNanos() <= 0;
  }

  private boolean isPathLost(long nowNanos) {
    return nowNanos - renewals.lostAtNanos() > 0;
  }

  private long newsAreOldAtNanos() {
    long silentAt = parentContactNanos + tree.parentTimeoutNanos();
    // A parent that says it knows nothing was restarted or cut off before it heard from a leader.
    long oldAt = parentNews.asOfNanos().orElse(parentContactNanos) + ageLimitNanos();
    return earlier(silentAt, oldAt);
  }

  private long ageLimitNanos() {
    return parentNews.isKnown() ? tree.rootTimeoutNanos() : 0;
  }

  private boolean followContender(long appliedIndex, long nowNanos) {
    News other = contender;
    contender = null;
    if (other == null || !isBetter(other, nowNanos)) {
      return false;
    }
    logChange(other, appliedIndex, nowNanos);
    parent = other.sender();
    renewals.parentSelected(parent, nowNanos);
    parentNews = other.state();
    parentContactNanos = nowNanos;
    earliestChangeNanos = nowNanos + MINIMUM_STAY_NANOS;
    return true;
  }

  private boolean isBetter(News other, long nowNanos) {
    boolean recent = !other.state().isOlderThan(tree.rootTimeoutNanos(), nowNanos);
    boolean answered = renewals.isAnsweredThrough(other.sender(), nowNanos);
    boolean lacksNews = !hasNews(nowNanos);
    if (recent && (lacksNews || (answered && isPathLost(nowNanos)))) {
      return true;
    }
    if (!candidates.contains(other.sender())) {
      return false;
    }
    if (nowNanos - earliestChangeNanos < 0) {
      return false;
    }
    if (lacksNews) {
      // Old news from a parent that lives are better than silence.
      boolean silent = nowNanos - parentContactNanos > tree.parentTimeoutNanos();
      return parent.isEmpty() || silent;
    }
    return recent && answered && isPreferred(other.sender(), parent);
  }

  private boolean isPreferred(String candidate, String other) {
    int position = candidates.indexOf(candidate);
    int otherPosition = candidates.indexOf(other);
    return position >= 0 && (otherPosition < 0 || position < otherPosition);
  }

  private List<String> takeQuestions(long nowNanos) {
    if (toAsk.isEmpty() && nowNanos - nextRoundNanos >= 0) {
      startRound(nowNanos);
    }
    List<String> asked = new ArrayList<>();
    String again = askAgain;
    askAgain = null;
    if (again != null && !again.equals(parent)) {
      asked.add(again);
    }
    if (!toAsk.isEmpty() && nowNanos - nextQuestionNanos >= 0) {
      nextQuestionNanos = nowNanos + ASK_INTERVAL_NANOS;
      asked.add(toAsk.remove());
    }
    unanswered.addAll(asked);
    return asked;
  }

  private void startRound(long nowNanos) {
    nextRoundNanos = nowNanos + (searching ? SEARCH_ROUND_NANOS : PREFERENCE_ROUND_NANOS);
    List<String> others =
        candidates.stream()
            .filter(each -> searching ? !each.equals(parent) : isPreferred(each, parent))
            .toList();
    others.stream().filter(each -> !unanswered.contains(each)).forEach(toAsk::add);
    if (searching && nowNanos - searchBeganNanos >= SEARCH_ROUND_NANOS) {
      addAcquaintances();
    }
    others.stream().filter(unanswered::contains).forEach(toAsk::add);
  }

  private void addAcquaintances() {
    int count = Math.min(ACQUAINTANCES_PER_ROUND, acquaintances.size());
    for (int i = 0; i < count; i++) {
      toAsk.add(acquaintances.get(nextAcquaintance++ % acquaintances.size()));
    }
  }

  private void logChange(News next, long appliedIndex, long nowNanos) {
    LOG.info(
        ReplicaEvent.PARENT_CHANGED,
        "from",
        parent,
        "to",
        next.sender(),
        "reason",
        reason(nowNanos),
        "parentAgeMillis",
        TimeUnit.NANOSECONDS.toMillis(nowNanos - parentContactNanos),
        "rootAgeMillis",
        age(parentNews, nowNanos),
        "nextRootAgeMillis",
        age(next.state(), nowNanos),
        "answeredRenewalAgeMillis",
        answeredRenewalAge(nowNanos),
        "answers",
        answers(nowNanos),
        "appliedIndex",
        appliedIndex);
  }

  private void logSearchBegins(long appliedIndex, long nowNanos) {
    LOG.info(
        ReplicaEvent.PARENT_SEARCH_BEGINS,
        "parent",
        parent,
        "reason",
        reason(nowNanos),
        "rootAgeMillis",
        age(parentNews, nowNanos),
        "answeredRenewalAgeMillis",
        answeredRenewalAge(nowNanos),
        "appliedIndex",
        appliedIndex);
  }

  private void logSearch(long appliedIndex, long nowNanos) {
    LOG.warn(
        ReplicaEvent.PARENT_NOT_FOUND,
        "parent",
        parent,
        "searchMillis",
        TimeUnit.NANOSECONDS.toMillis(nowNanos - searchBeganNanos),
        "rootAgeMillis",
        age(parentNews, nowNanos),
        "answeredRenewalAgeMillis",
        answeredRenewalAge(nowNanos),
        "candidates",
        candidates,
        "acquaintances",
        acquaintances.size(),
        "answers",
        answers(nowNanos),
        "unanswered",
        candidates.stream().filter(unanswered::contains).toList(),
        "appliedIndex",
        appliedIndex);
  }

  /** Returns who has told news, how old that is, and who passed on an answer of the leader. */
  private List<String> answers(long nowNanos) {
    return told.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .limit(MAXIMUM_LOGGED_ANSWERS)
        .map(
            each ->
                each.getKey()
                    + "="
                    + age(each.getValue(), nowNanos)
                    + (renewals.isAnsweredThrough(each.getKey(), nowNanos) ? "/answered" : ""))
        .toList();
  }

  private static Object age(KnownState news, long nowNanos) {
    return news.isKnown() ? news.ageMillis(nowNanos) : "unknown";
  }

  private long answeredRenewalAge(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(renewals.ageNanos(nowNanos));
  }

  private String reason(long nowNanos) {
    if (parent.isEmpty()) {
      return "none";
    }
    if (hasNews(nowNanos)) {
      return isPathLost(nowNanos) ? "renewals-unanswered" : "preferred";
    }
    boolean silent = nowNanos - parentContactNanos > tree.parentTimeoutNanos();
    return silent ? "parent-silent" : "no-news-of-leader";
  }
}
