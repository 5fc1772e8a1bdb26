package dev.arbutusroad.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RetryAllowanceTest {
  private static final int MAX_DEPTH = 10;
  private static final int TREES = 5_000;

  private final Random random = new Random(Seeds.seed("RetryAllowanceTest"));
  private double failureShare;
  private double lostShare;
  private double droppedShare;
  private int retries;
  private int runs;

  /** A call of the tree; it makes the same child calls each time it runs. */
  private record Node(List<Node> children) {
    int size() {
      return 1 + children.stream().mapToInt(Node::size).sum();
    }
  }

  private Node tree(int depth) {
    List<Node> children = new ArrayList<>();
    int fanOut = depth == MAX_DEPTH ? 0 : random.nextInt(depth < 3 ? 4 : 3);
    for (int i = 0; i < fanOut; i++) {
      children.add(tree(depth + 1));
    }
    return new Node(children);
  }

  /** Runs a call on a target with an allowance; returns the unused part for its caller. */
  private int run(Node node, int granted) {
    runs++;
    RetryAllowance allowance = new RetryAllowance(granted);
    for (Node child : node.children()) {
      // A target that drops the context sends the child call without an allowance.
      boolean dropped = random.nextDouble() < droppedShare;
      call(child, dropped ? new RetryAllowance(0) : allowance);
    }
    return allowance.close();
  }

  /** Sends a call until it succeeds or may not be retried. */
  private void call(Node node, RetryAllowance parentAllowance) {
    boolean retry = true;
    while (retry) {
      int grant = parentAllowance.takeGrant();
      int unused = run(node, grant);
      if (random.nextDouble() < lostShare) {
        parentAllowance.forfeit(grant);
      } else {
        parentAllowance.returnUnused(grant, unused);
      }
      retry = random.nextDouble() < failureShare && parentAllowance.spend();
      retries += retry ? 1 : 0;
    }
  }

  /**
   * Guards against retries that multiply with the depth or fan-out of a call tree, including when
   * answers are lost and when targets drop the context.
   */
  @Test
  void retriesOfAWholeTreeAreBoundedByTheAllowance() {
    int maxRetries = 0;
    for (int i = 0; i < TREES; i++) {
      Node root = tree(1);
      int allowance = random.nextInt(17);
      failureShare = random.nextInt(4) == 0 ? 1 : random.nextDouble();
      lostShare = random.nextInt(3) * random.nextDouble() / 2;
      droppedShare = random.nextInt(3) * random.nextDouble() / 2;
      retries = 0;
      runs = 0;

      call(root, new RetryAllowance(allowance));

      assertThat(retries).isLessThanOrEqualTo(allowance);
      assertThat(runs).isLessThanOrEqualTo(root.size() * (1 + allowance));
      maxRetries = Math.max(maxRetries, retries);
    }
    assertThat(maxRetries).isEqualTo(16);
  }
}
