/**
 * Rendezvous (highest random weight) hashing. All processes with the same set
 * of nodes choose the same node for a key, and when a node joins or leaves,
 * only that node's keys move.
 */
import { cachedHash32, hash32 } from "./hash32.ts";

/** The 32-bit finalizer of MurmurHash3: every input bit affects every output bit. */
function _mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

function _score(keyHash: number, node: string): number {
  return _mix(keyHash ^ Math.imul(cachedHash32(node), 0x9e3779b1));
}

/** Returns the score of a node for a key; the highest score wins. */
export function rendezvousScore(key: string, node: string): number {
  return _score(hash32(key), node);
}

/** Returns the nodes in order of preference for a key. */
export function rankByRendezvous<T>(
  key: string,
  nodes: readonly T[],
  idOf: (node: T) => string,
): T[] {
  const keyHash = hash32(key);
  return nodes
    .map((node) => ({
      node,
      id: idOf(node),
      score: _score(keyHash, idOf(node)),
    }))
    .sort((left, right) =>
      right.score - left.score || (left.id < right.id ? -1 : 1)
    )
    .map((entry) => entry.node);
}

/** Returns the preferred node for a key, or undefined if there are no nodes. */
export function pickByRendezvous<T>(
  key: string,
  nodes: readonly T[],
  idOf: (node: T) => string,
): T | undefined {
  const keyHash = hash32(key);
  let best: T | undefined;
  let bestScore = -1;
  let bestId = "";
  for (const node of nodes) {
    const id = idOf(node);
    const score = _score(keyHash, id);
    if (score > bestScore || (score === bestScore && id < bestId)) {
      [best, bestScore, bestId] = [node, score, id];
    }
  }
  return best;
}
