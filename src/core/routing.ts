/**
 * Ranks the backend servers for a request. The candidates are the servers that
 * recently served its chat, the first servers of its workspace set, servers
 * that have the workspace's shared prompt cached, and the least loaded servers
 * of a random sample. They are ordered by the load bound, then by the expected
 * time to the first token. The cost does not grow with the size of the pool.
 */
import type { CachedPrefix, CacheState } from "./prefix_cache_index.ts";
import type { RememberedServer } from "./remembered_servers.ts";
import type { FlapDamping } from "./flap_damping.ts";
import type { BackendServerId, ChatId, WorkspaceId } from "./ids.ts";
import type { LoadView } from "./load_view.ts";
import type { RandomSource } from "./random.ts";
import { hash32 } from "./hash32.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import type {
  EligibleServers,
  RoutedServer,
  RoutingIndex,
  RoutingTarget,
} from "./routing_index.ts";

/** Candidates from the workspace set, the servers preferred for a workspace. */
const SET_CANDIDATES = 3;
/** Servers per section of a workspace set; bounds the cost of a large set. */
const SECTION_SERVERS = 8;
/** A workspace needs a second server when the first is at its load bound. */
const MINIMUM_SET_SERVERS = 2;
/** Headroom for the load of other workspaces that share the set's servers. */
const SET_HEADROOM_RATIO = 1.5;
/** Random servers sampled, and how many of the least loaded are candidates. */
const SAMPLED_SERVERS = 6;
const LEAST_LOADED_CANDIDATES = 3;
/** Candidates that have the shared prompt cached, least loaded first. */
const WARM_CANDIDATES = 3;
/**
 * Factor on the load bound for loads that may be out of date. A load above it
 * is not expected to be under the bound once the owner is asked. Up to it,
 * asking costs one message, while skipping a cached prompt costs its whole
 * prefill.
 */
const LAG_ALLOWANCE_RATIO = 1.3;
/**
 * Share of the load tokens expected to wait for prefill. Most belong to streams
 * that already generate, which delay no prefill. While at most half of the
 * prefill capacity is in use, the queue stays within this share.
 */
const QUEUED_LOAD_RATIO = 0.02;
/** Half-life of the chance that a prompt is still cached, without cache events. */
const UNKNOWN_CACHE_HALF_LIFE_MILLISECONDS = 10 * 60_000;

/** The properties of a request that routing needs. */
export interface RoutingRequest {
  readonly workspace: WorkspaceId;
  readonly chat?: ChatId | undefined;
  readonly target: RoutingTarget;
  readonly promptTokens: number;
  /** The maximum number of tokens to generate. */
  readonly outputTokens: number;
}

/** The last reported state of backend servers. */
export abstract class BackendStateView {
  /** Whether a server is up, not leaving, and has all versions loaded. */
  abstract isServing(
    backendServer: BackendServerId,
    versions: readonly string[],
  ): boolean;
}

/** The state that a decision is based on. */
export interface RoutingView {
  readonly index: RoutingIndex;
  readonly load: LoadView;
  readonly backendStates: BackendStateView;
  readonly flapDamping: FlapDamping;
  /** The chat's recent servers, from its home router. */
  readonly remembered: readonly RememberedServer[];
  /** Servers that recently served the workspace through this router. */
  readonly warm: readonly BackendServerId[];
  cacheState(
    backendServer: BackendServerId,
    prefix: CachedPrefix,
  ): CacheState;
  /** Estimated tokens of the workspace in flight in the whole fleet. */
  workspaceTokens(workspace: WorkspaceId): number;
}

/** A server to which the request may be sent. */
export interface Candidate {
  readonly backendServer: BackendServerId;
  readonly expectedFirstTokenMilliseconds: number;
  /** Prompt tokens expected to be reused from the cache. */
  readonly cachedTokens: number;
  /** The load added by the request: uncached prompt and output tokens. */
  readonly loadTokens: number;
  /** Whether the last known load leaves capacity; the owner decides. */
  readonly mayHaveCapacity: boolean;
}

interface _RoutingInput {
  readonly request: RoutingRequest;
  readonly view: RoutingView;
  readonly eligible: EligibleServers;
  readonly now: number;
  readonly random: RandomSource;
}

/**
 * Whether a server stays under the load bound, in tokens: a multiple of the
 * mean, or one more request if its load is not above the mean.
 */
export function isUnderLoadBound(
  loadTokens: number,
  requestTokens: number,
  meanTokens: number,
  ratio: number,
): boolean {
  return loadTokens + requestTokens <= ratio * meanTokens ||
    loadTokens <= meanTokens;
}

/** Returns the number of servers that a workspace's load needs. */
export function workspaceSetSize(
  workspaceTokens: number,
  meanTokens: number,
  servers: number,
): number {
  const needed = meanTokens > 0
    ? Math.ceil(SET_HEADROOM_RATIO * workspaceTokens / meanTokens)
    : 0;
  return Math.min(servers, Math.max(MINIMUM_SET_SERVERS, needed));
}

function _isUsable(input: _RoutingInput, server: RoutedServer): boolean {
  const { view, eligible, now } = input;
  return view.backendStates.isServing(server.id, eligible.versions) &&
    !view.flapDamping.isSuppressed(server.id, now);
}

/**
 * Returns the chat's servers in the workspace set. A large set is divided into
 * sections with their own rendezvous orders, so that ranking stays cheap. Their
 * number is a power of two, so that growing the set moves at most half of the
 * chats.
 */
function _workspaceSetServers(input: _RoutingInput): RoutedServer[] {
  const { request, view, eligible } = input;
  const size = workspaceSetSize(
    view.workspaceTokens(request.workspace),
    view.load.meanTokens(eligible.pool),
    eligible.servers.length,
  );
  const chat = request.chat ?? input.random.token();
  const chatKey = `${request.workspace}/${chat}`;
  const sections = 2 **
    Math.ceil(Math.log2(Math.max(1, size / SECTION_SERVERS)));
  const section = hash32(`section/${chatKey}`) & (sections - 1);
  const sectionSize = Math.max(MINIMUM_SET_SERVERS, Math.ceil(size / sections));
  const usable: RoutedServer[] = [];
  for (
    const server of eligible.rankedServers(`${request.workspace}/${section}`)
  ) {
    if (usable.length >= sectionSize) break;
    if (_isUsable(input, server)) usable.push(server);
  }
  return rankByRendezvous(chatKey, usable, (server) => server.id)
    .slice(0, SET_CANDIDATES);
}

function _sortByLoad(
  { view }: _RoutingInput,
  servers: Iterable<RoutedServer>,
): RoutedServer[] {
  return [...servers]
    .map((server) => ({ server, tokens: view.load.tokens(server.id) }))
    .sort((left, right) => left.tokens - right.tokens)
    .map((entry) => entry.server);
}

function _usableServers(
  input: _RoutingInput,
  backendServers: Iterable<BackendServerId>,
): RoutedServer[] {
  const servers: RoutedServer[] = [];
  for (const backendServer of backendServers) {
    const server = input.eligible.find(backendServer);
    if (server && _isUsable(input, server)) servers.push(server);
  }
  return servers;
}

function _sampleLeastLoaded(input: _RoutingInput): RoutedServer[] {
  const { eligible, random } = input;
  const sample = new Set<RoutedServer>();
  for (let draw = 0; draw < SAMPLED_SERVERS; draw++) {
    const server = eligible.servers[random.integer(eligible.servers.length)];
    if (server && _isUsable(input, server)) sample.add(server);
  }
  return _sortByLoad(input, sample).slice(0, LEAST_LOADED_CANDIDATES);
}

/** Returns the servers to rank: a whole small pool, or part of a larger one. */
function _collectServers(input: _RoutingInput): Set<RoutedServer> {
  const { eligible, view } = input;
  const remembered = view.remembered.map((known) => known.backendServer);
  if (eligible.servers.length <= SECTION_SERVERS) {
    return new Set([
      ..._usableServers(input, remembered),
      ..._workspaceSetServers(input),
      ...eligible.servers.filter((server) => _isUsable(input, server)),
    ]);
  }
  const warm = _sortByLoad(input, _usableServers(input, view.warm));
  return new Set([
    ..._usableServers(input, remembered),
    ..._workspaceSetServers(input),
    ...warm.slice(0, WARM_CANDIDATES),
    ..._sampleLeastLoaded(input),
  ]);
}

/**
 * Estimates a server's cached prompt tokens from its cache events, or from the
 * requests it served if the events leave the state unknown.
 */
function _expectedCachedTokens(
  input: _RoutingInput,
  server: RoutedServer,
): number {
  const { request, view } = input;
  const { workspace, chat } = request;
  const shared = view.index.sharedPromptTokens(workspace);
  const known = view.remembered.find((entry) =>
    entry.backendServer === server.id
  );
  const sharedState = view.cacheState(server.id, { workspace });
  let tokens = 0;
  if (sharedState.kind === "present") tokens = sharedState.tokens;
  else if (sharedState.kind === "unknown") {
    if (known || view.warm.includes(server.id)) tokens = shared;
  }
  if (chat !== undefined) {
    const state = view.cacheState(server.id, { workspace, chat });
    if (state.kind === "present") tokens = Math.max(tokens, state.tokens);
    else if (state.kind === "unknown" && known) {
      const halvings = known.ageMilliseconds /
        UNKNOWN_CACHE_HALF_LIFE_MILLISECONDS;
      tokens = Math.max(tokens, known.cachedTokens * 2 ** -halvings);
    }
  }
  return Math.min(request.promptTokens, Math.floor(tokens));
}

function _createCandidate(
  input: _RoutingInput,
  server: RoutedServer,
): Candidate {
  const { request, view, eligible } = input;
  const cachedTokens = request.target.kind === "model"
    ? _expectedCachedTokens(input, server)
    : 0;
  const uncached = request.promptTokens - cachedTokens;
  const load = view.load.tokens(server.id);
  const loadTokens = uncached + request.outputTokens;
  const queued = load * QUEUED_LOAD_RATIO;
  return {
    backendServer: server.id,
    expectedFirstTokenMilliseconds: 1_000 * (queued + uncached) /
      server.prefillTokensPerSecond,
    cachedTokens,
    loadTokens,
    mayHaveCapacity: isUnderLoadBound(
      load,
      loadTokens,
      view.load.meanTokens(eligible.pool),
      LAG_ALLOWANCE_RATIO * view.index.loadBoundRatio,
    ),
  };
}

/**
 * Returns the candidates of a request, best first: those that may have capacity
 * under the load bound, then the others, both by expected time to the first
 * token. The result is empty if no permitted server can serve the request.
 */
export function rankCandidates(
  request: RoutingRequest,
  view: RoutingView,
  now: number,
  random: RandomSource,
): readonly Candidate[] {
  const eligible = view.index.eligible(request.workspace, request.target);
  if (!eligible || eligible.servers.length === 0) return [];
  const input: _RoutingInput = { request, view, eligible, now, random };
  return [..._collectServers(input)]
    .map((server) => _createCandidate(input, server))
    .sort((left, right) =>
      Number(right.mayHaveCapacity) - Number(left.mayHaveCapacity) ||
      left.expectedFirstTokenMilliseconds -
        right.expectedFirstTokenMilliseconds ||
      view.load.relativeLoad(left.backendServer) -
        view.load.relativeLoad(right.backendServer)
    );
}
