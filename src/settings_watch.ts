/**
 * Notices that a settings file has changed. The file may change without a
 * signal, so its times and size are looked at regularly.
 */
import { stat } from "node:fs/promises";
import type { Subscription, TimerService } from "./timer_service.ts";

const POLL_PERIOD_MILLISECONDS = 1_000;

/** What watching a file needs. */
export interface SettingsWatchOptions {
  readonly timers: TimerService;
  /** Called when the file differs from what it was at the last look. */
  readonly onChange: () => void;
}

async function _readFingerprint(path: string): Promise<string | undefined> {
  try {
    const { mtimeMs, ctimeMs, size, ino } = await stat(path);
    return `${mtimeMs} ${ctimeMs} ${size} ${ino}`;
  } catch {
    // A file that is being replaced may be missing for a moment. A file that
    // stays away changes nothing: the settings in use remain.
    return undefined;
  }
}

/** Looks at a file regularly until cancelled. */
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
