/**
 * The choice of a backend server. A request has a few candidates: servers that
 * its chat is remembered on, the first servers of its workspace set, servers
 * that hold the workspace's shared prompt, and the least loaded of a random
 * sample. They are ordered by the load bound, then by
 * the expected time to the first token. The cost does not grow with the pool.
 */
import type { CachedPrefix, CacheState } from "./prefix_cache_index.ts";
import type { RememberedServer } from "./chat_table.ts";
import type { FlapDamping } from "./flap_damping.ts";
import type { BackendServerId, ChatId, WorkspaceId } from "./ids.ts";
import type { LoadView } from "./load_view.ts";
import type { RandomSource } from "./random.ts";
import { hash32, rankByRendezvous } from "./rendezvous.ts";
import type {
  EligibleServers,
  RoutedServer,
  RoutingIndex,
  RoutingTarget,
} from "./routing_index.ts";

/** Candidates from the workspace set. */
const SET_CANDIDATES = 3;
/** Servers of one section of a workspace set, so a large set costs no more. */
const SECTION_SERVERS = 8;
/** A workspace has a second server to turn to when the first is at its bound. */
const MINIMUM_SET_SERVERS = 2;
/** The set carries its workspace's load even when other workspaces share it. */
const SET_SLACK = 1.5;
/** Random servers looked at, and how many of the least loaded are kept. */
const SAMPLED_SERVERS = 6;
const LEAST_LOADED_CANDIDATES = 3;
/** Candidates that hold the shared prompt, the least loaded ones. */
const WARM_CANDIDATES = 3;
/**
 * A lagged load this far above the bound is not expected to have fallen under
 * it by the time the steward is asked. Below this, asking costs one message,
 * while passing over a cached prompt costs its whole prefill.
 */
const LAG_ALLOWANCE = 1.3;
/**
 * Most load tokens belong to streams already generating, which delay no
 * prefill. Up to half-loaded prefill, the queue is within this share.
 */
const QUEUED_SHARE_OF_LOAD = 0.02;
/** Without cache events the chance of still being cached falls with age. */
const UNKNOWN_CACHE_HALF_LIFE_MILLISECONDS = 10 * 60_000;

/** What routing needs to know of a request. */
export interface RoutingRequest {
  readonly workspace: WorkspaceId;
  readonly chat?: ChatId | undefined;
  readonly target: RoutingTarget;
  readonly promptTokens: number;
  /** The maximum number of tokens to generate. */
  readonly outputTokens: number;
}

/** The state of backend servers as last reported. */
export abstract class BackendStateView {
  /** Whether a server is up, not leaving, and has all the versions loaded. */
  abstract isServing(
    backendServer: BackendServerId,
    versions: readonly string[],
  ): boolean;
}

/** Everything a decision looks at. */
export interface RoutingView {
  readonly index: RoutingIndex;
  readonly load: LoadView;
  readonly backendStates: BackendStateView;
  readonly flapDamping: FlapDamping;
  /** From the chat's home. */
  readonly remembered: readonly RememberedServer[];
  /** Servers that recently served the workspace through this router. */
  readonly warm: readonly BackendServerId[];
  cacheState(
    backendServer: BackendServerId,
    prefix: CachedPrefix,
  ): CacheState;
  /** Tokens of the workspace in flight in the whole fleet, estimated. */
  workspaceTokens(workspace: WorkspaceId): number;
}

/** A server that may take the request. */
export interface Candidate {
  readonly backendServer: BackendServerId;
  readonly expectedFirstTokenMilliseconds: number;
  /** Prompt tokens expected to be reused. */
  readonly cachedTokens: number;
  /** The load that the request adds: uncached prompt and output tokens. */
  readonly loadTokens: number;
  /** Whether the server may have room by its lagged load; the steward decides. */
  readonly mayHaveRoom: boolean;
}

interface _Choice {
  readonly request: RoutingRequest;
  readonly view: RoutingView;
  readonly eligible: EligibleServers;
  readonly now: number;
  readonly random: RandomSource;
}

/** The load bound, in tokens: a multiple of the mean, or one more request. */
export function isUnderLoadBound(
  loadTokens: number,
  requestTokens: number,
  meanTokens: number,
  ratio: number,
): boolean {
  return loadTokens + requestTokens <= ratio * meanTokens ||
    loadTokens <= meanTokens;
}

/** Returns how many servers a workspace's load needs. */
export function workspaceSetSize(
  workspaceTokens: number,
  meanTokens: number,
  servers: number,
): number {
  const needed = meanTokens > 0
    ? Math.ceil(SET_SLACK * workspaceTokens / meanTokens)
    : 0;
  return Math.min(servers, Math.max(MINIMUM_SET_SERVERS, needed));
}

function _isUsable(choice: _Choice, server: RoutedServer): boolean {
  const { view, eligible, now } = choice;
  return view.backendStates.isServing(server.id, eligible.versions) &&
    !view.flapDamping.isSuppressed(server.id, now);
}

/**
 * The chat's servers in the workspace set. A large set is divided into a power
 * of two of sections with their own rendezvous orders, so that growing it moves
 * at most half of the chats and ranking it stays cheap.
 */
function _setServers(choice: _Choice): RoutedServer[] {
  const { request, view, eligible } = choice;
  const size = workspaceSetSize(
    view.workspaceTokens(request.workspace),
    view.load.meanTokens(eligible.pool),
    eligible.servers.length,
  );
  const chat = request.chat ?? choice.random.token();
  const chatKey = `${request.workspace}/${chat}`;
  const sections = 2 **
    Math.ceil(Math.log2(Math.max(1, size / SECTION_SERVERS)));
  const section = hash32(`section/${chatKey}`) & (sections - 1);
  const width = Math.max(MINIMUM_SET_SERVERS, Math.ceil(size / sections));
  const usable: RoutedServer[] = [];
  for (const server of eligible.orderOf(`${request.workspace}/${section}`)) {
    if (usable.length >= width) break;
    if (_isUsable(choice, server)) usable.push(server);
  }
  return rankByRendezvous(chatKey, usable, (server) => server.id)
    .slice(0, SET_CANDIDATES);
}

function _byLoad(
  { view }: _Choice,
  servers: Iterable<RoutedServer>,
): RoutedServer[] {
  return [...servers]
    .map((server) => ({ server, tokens: view.load.tokens(server.id) }))
    .sort((left, right) => left.tokens - right.tokens)
    .map((entry) => entry.server);
}

function _usableServers(
  choice: _Choice,
  backendServers: Iterable<BackendServerId>,
): RoutedServer[] {
  const servers: RoutedServer[] = [];
  for (const backendServer of backendServers) {
    const server = choice.eligible.contains(backendServer);
    if (server && _isUsable(choice, server)) servers.push(server);
  }
  return servers;
}

function _leastLoaded(choice: _Choice): RoutedServer[] {
  const { eligible, random } = choice;
  const sample = new Set<RoutedServer>();
  for (let draw = 0; draw < SAMPLED_SERVERS; draw++) {
    const server = eligible.servers[random.integer(eligible.servers.length)];
    if (server && _isUsable(choice, server)) sample.add(server);
  }
  return _byLoad(choice, sample).slice(0, LEAST_LOADED_CANDIDATES);
}

/** A pool as small as one section is looked at as a whole. */
function _collectServers(choice: _Choice): Set<RoutedServer> {
  const { eligible, view } = choice;
  const remembered = view.remembered.map((known) => known.backendServer);
  if (eligible.servers.length <= SECTION_SERVERS) {
    return new Set([
      ..._usableServers(choice, remembered),
      ..._setServers(choice),
      ...eligible.servers.filter((server) => _isUsable(choice, server)),
    ]);
  }
  const warm = _byLoad(choice, _usableServers(choice, view.warm));
  return new Set([
    ..._usableServers(choice, remembered),
    ..._setServers(choice),
    ...warm.slice(0, WARM_CANDIDATES),
    ..._leastLoaded(choice),
  ]);
}

/** Prompt tokens expected to be reused, from events where known. */
function _expectedCachedTokens(choice: _Choice, server: RoutedServer): number {
  const { request, view } = choice;
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

function _createCandidate(choice: _Choice, server: RoutedServer): Candidate {
  const { request, view, eligible } = choice;
  const cachedTokens = request.target.kind === "model"
    ? _expectedCachedTokens(choice, server)
    : 0;
  const uncached = request.promptTokens - cachedTokens;
  const load = view.load.tokens(server.id);
  const loadTokens = uncached + request.outputTokens;
  const queued = load * QUEUED_SHARE_OF_LOAD;
  return {
    backendServer: server.id,
    expectedFirstTokenMilliseconds: 1_000 * (queued + uncached) /
      server.prefillTokensPerSecond,
    cachedTokens,
    loadTokens,
    mayHaveRoom: isUnderLoadBound(
      load,
      loadTokens,
      view.load.meanTokens(eligible.pool),
      LAG_ALLOWANCE * view.index.loadBoundRatio,
    ),
  };
}

/**
 * Returns the candidates of a request, best first: those that may have room
 * under the load bound by expected time to the first token, then the others. Empty if no server may
 * and can serve the request.
 */
export function rankCandidates(
  request: RoutingRequest,
  view: RoutingView,
  now: number,
  random: RandomSource,
): readonly Candidate[] {
  const eligible = view.index.eligible(request.workspace, request.target);
  if (!eligible || eligible.servers.length === 0) return [];
  const choice: _Choice = { request, view, eligible, now, random };
  return [..._collectServers(choice)]
    .map((server) => _createCandidate(choice, server))
    .sort((left, right) =>
      Number(right.mayHaveRoom) - Number(left.mayHaveRoom) ||
      left.expectedFirstTokenMilliseconds -
        right.expectedFirstTokenMilliseconds ||
      view.load.relativeLoad(left.backendServer) -
        view.load.relativeLoad(right.backendServer)
    );
}
