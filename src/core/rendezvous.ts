/**
 * Rendezvous (highest random weight) hashing. All processes with the same set
 * of nodes choose the same node for a key, and when a node joins or leaves,
 * only that node's keys move.
 */
import loadXxhash from "xxhash-wasm";

const _xxhash = await loadXxhash();

const MAXIMUM_CACHED_NODES = 8_192;
const _nodeHashes = new Map<string, number>();

function _nodeHash(node: string): number {
  const known = _nodeHashes.get(node);
  if (known !== undefined) return known;
  if (_nodeHashes.size >= MAXIMUM_CACHED_NODES) _nodeHashes.clear();
  const hash = _xxhash.h32(node);
  _nodeHashes.set(node, hash);
  return hash;
}

/** The 32-bit finalizer of MurmurHash3: every input bit affects every output bit. */
function _mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns a 32-bit hash of a string. */
export function hash32(value: string): number {
  return _xxhash.h32(value);
}

/** Returns a 64-bit hash of a string as 16 hexadecimal digits. */
export function hash64(value: string): string {
  return _xxhash.h64(value).toString(16).padStart(16, "0");
}

function _score(keyHash: number, node: string): number {
  return _mix(keyHash ^ Math.imul(_nodeHash(node), 0x9e3779b1));
}

/** Returns the score of a node for a key; the highest score wins. */
export function rendezvousScore(key: string, node: string): number {
  return _score(_xxhash.h32(key), node);
}

/** Returns the nodes in order of preference for a key. */
export function rankByRendezvous<T>(
  key: string,
  nodes: readonly T[],
  idOf: (node: T) => string,
): T[] {
  const keyHash = _xxhash.h32(key);
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
  const keyHash = _xxhash.h32(key);
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
