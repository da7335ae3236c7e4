/**
 * Changes of registrations that a router knows and lets take effect later. A revision
 * covers them as well: routers tell each other of them together with the revision, so
 * that none that has learned the revision depends on a later message.
 */
import type { BackendServerId } from "./ids.ts";
import { incarnationKeyOf } from "./server_incarnations.ts";
import type {
  DeferredChange,
  RegistrationChange,
} from "./server_registrations.ts";

interface _Deferral {
  readonly change: RegistrationChange;
  readonly dueAt: number;
}

function _isSameChange(
  { server: left }: RegistrationChange,
  { server: right }: RegistrationChange,
): boolean {
  if (!left || !right) return left === right;
  return incarnationKeyOf(left) === incarnationKeyOf(right);
}

/** The deferred changes of one router, at most one of each server. */
export class DeferredChanges {
  readonly #deferrals = new Map<BackendServerId, _Deferral>();
  /** Servers whose deferred change `takeNew` has not returned. */
  readonly #new = new Set<BackendServerId>();

  /** Defers a change; one that is deferred already keeps its time. */
  defer(change: RegistrationChange, dueAt: number): void {
    const known = this.#deferrals.get(change.id);
    if (known && _isSameChange(known.change, change)) return;
    this.#deferrals.set(change.id, { change, dueAt });
    this.#new.add(change.id);
  }

  /** Gives up a server's deferred change, because a newer one has taken effect. */
  cancel(id: BackendServerId): void {
    this.#deferrals.delete(id);
    this.#new.delete(id);
  }

  get(id: BackendServerId): RegistrationChange | undefined {
    return this.#deferrals.get(id)?.change;
  }

  /** All deferred changes. */
  changes(): readonly RegistrationChange[] {
    return [...this.#deferrals.values()].map(({ change }) => change);
  }

  /** Removes and returns the changes that take effect. */
  takeDue(now: number): readonly RegistrationChange[] {
    const due = [...this.#deferrals.values()].filter(({ dueAt }) =>
      now >= dueAt
    );
    for (const { change: { id } } of due) this.cancel(id);
    return due.map(({ change }) => change);
  }

  /** Returns all deferred changes, as sent to peers. */
  list(now: number): readonly DeferredChange[] {
    return [...this.#deferrals.values()].map(({ change, dueAt }) => ({
      ...change,
      remainingMilliseconds: Math.max(0, dueAt - now),
    }));
  }

  /** Returns the changes deferred since the last call, as sent to peers. */
  takeNew(now: number): readonly DeferredChange[] {
    const taken = this.list(now).filter(({ id }) => this.#new.has(id));
    this.#new.clear();
    return taken;
  }
}
