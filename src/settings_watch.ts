/**
 * Detects changes of a settings file. The file may change without a signal to the
 * process, so its timestamps, size and inode are polled.
 */
import { stat } from "node:fs/promises";
import type { Subscription, TimerService } from "./timer_service.ts";

const POLL_PERIOD_MILLISECONDS = 1_000;

/** Options of {@link watchSettings}. */
export interface SettingsWatchOptions {
  readonly timers: TimerService;
  /** Called when the file has changed since the previous poll. */
  readonly onChange: () => void;
}

async function _readFingerprint(path: string): Promise<string | undefined> {
  try {
    const { mtimeMs, ctimeMs, size, ino } = await stat(path);
    return `${mtimeMs} ${ctimeMs} ${size} ${ino}`;
  } catch {
    // A file that is being replaced may be missing for a moment. If it stays
    // missing, the current settings remain in use.
    return undefined;
  }
}

/** Polls a file until cancelled. */
export function watchSettings(
  path: string,
  { timers, onChange }: SettingsWatchOptions,
): Subscription {
  let lastFingerprint: string | undefined;
  async function poll(): Promise<void> {
    const fingerprint = await _readFingerprint(path);
    if (fingerprint === undefined) return;
    const hasChanged = lastFingerprint !== undefined &&
      fingerprint !== lastFingerprint;
    lastFingerprint = fingerprint;
    if (hasChanged) onChange();
  }
  void poll();
  return timers.every(
    POLL_PERIOD_MILLISECONDS,
    "settings file",
    () => void poll(),
  );
}
