package org.teaseltrestle.kernel;

/** Log events of the kernel, numbers 1000 to 1999. */
public enum KernelEvent implements LogEvent {
  CLOSE_FAILED(1001, "resource could not be closed"),
  DUTY_FAILED(1002, "duty thread caught an unexpected exception and continues"),
  RING_FULL(1003, "bounded ring is full; item rejected"),
  PROCESS_STARTED(1004, "process started"),
  PROCESS_STOPPING(1005, "process is stopping"),
  PROCESS_STOPPED(1006, "process stopped"),
  FATAL_ERROR(1007, "thread failed with an error; the process ends"),
  TASK_FAILED(1008, "task failed with an unexpected exception");

  private final int number;
  private final String text;

  KernelEvent(int number, String text) {
    this.number = number;
    this.text = text;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String text() {
    return text;
  }
}
