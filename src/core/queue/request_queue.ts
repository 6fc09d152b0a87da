/**
 * Queue of the requests that a host holds until a target has a free slot,
 * bounded in number and bytes.
 *
 * It answers two loads. In a burst over urgent and cheap routes the urgent ones
 * leave first, and the cheap ones still get a fixed part of the starts. When an
 * organisation sends many times its usual rate, its requests wait behind each
 * other instead of in front of those of other organisations, and a full queue
 * drops them first.
 *
 * @module
 */
import type { QueueBounds, QueuedRequest } from "./types.ts";

/**
 * Part of the starts that a less urgent priority gets while more urgent
 * requests wait, so that its requests are not held until they are refused.
 */
const LESS_URGENT_SHARE = 1 / 8;

/** Requests of one organisation on one route. */
interface Flow {
  /** Held requests in the order of their arrival. */
  readonly requests: Set<QueuedRequest>;
  readonly weight: number;
  /**
   * Service time that was started, divided by the weight; flows with the lowest
   * value are next.
   */
  virtualMs: number;
}

/** Flows of one service with one priority. */
interface Level {
  readonly priority: number;
  readonly flows: Map<string, Flow>;
  /** Virtual time of the flow that was started last. */
  virtualMs: number;
  /** Starts that are due to this level; see `LESS_URGENT_SHARE`. */
  dueStarts: number;
}

/** Whether a request was added, and what it displaced. */
export interface AddResult {
  readonly isAdded: boolean;
  /** Request that was removed to make room. */
  readonly displaced?: QueuedRequest;
}

/** Options of a `RequestQueue`. */
export interface RequestQueueOptions {
  readonly bounds: QueueBounds;
  /** Returns the weight of a request's organisation and route. Default: 1. */
  readonly weightOf?: (request: QueuedRequest) => number;
}

/** Held requests of a host, by service. */
export class RequestQueue {
  readonly #bounds: QueueBounds;
  readonly #weightOf: (request: QueuedRequest) => number;
  readonly #byId = new Map<number, QueuedRequest>();
  /** Levels of each service, the most urgent first. */
  readonly #levels = new Map<string, Level[]>();
  #heldBytes = 0;

  constructor({ bounds, weightOf = () => 1 }: RequestQueueOptions) {
    this.#bounds = bounds;
    this.#weightOf = weightOf;
  }

  /** Number of held requests. */
  get size(): number {
    return this.#byId.size;
  }

  /** Bytes of the bodies of the held requests. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  get(requestId: number): QueuedRequest | undefined {
    return this.#byId.get(requestId);
  }

  /** Services with held requests. */
  services(): string[] {
    return [...this.#levels.keys()];
  }

  /** Number of held requests by service. */
  lengths(): Map<string, number> {
    const lengths = new Map<string, number>();
    for (const { service } of this.#byId.values()) {
      lengths.set(service, (lengths.get(service) ?? 0) + 1);
    }
    return lengths;
  }

  /** Whether a service has held requests. */
  hasRequests(service: string): boolean {
    return this.#levels.has(service);
  }

  /**
   * Adds a request. A full queue makes room by removing one that is less urgent,
   * or that belongs to a flow which holds more than the request's own.
   */
  add(request: QueuedRequest): AddResult {
    let displaced: QueuedRequest | undefined;
    if (!this.#hasRoomFor(request)) {
      displaced = this.#findDisplaceable(request);
      if (displaced === undefined || !this.#hasRoomFor(request, displaced)) {
        return { isAdded: false };
      }
      this.remove(displaced.requestId);
    }
    const level = this.#levelFor(request);
    const key = flowKey(request);
    let flow = level.flows.get(key);
    if (flow === undefined) {
      flow = {
        requests: new Set(),
        weight: this.#weightOf(request),
        virtualMs: level.virtualMs,
      };
      level.flows.set(key, flow);
    }
    // A flow that had no requests for a time has saved nothing up.
    if (flow.requests.size === 0) {
      flow.virtualMs = Math.max(flow.virtualMs, level.virtualMs);
    }
    flow.requests.add(request);
    this.#byId.set(request.requestId, request);
    this.#heldBytes += request.bodyBytes;
    return { isAdded: true, displaced };
  }

  /** Removes a request that is refused or whose caller has left. */
  remove(requestId: number): QueuedRequest | undefined {
    const request = this.#byId.get(requestId);
    if (request === undefined) return undefined;
    this.#byId.delete(requestId);
    this.#heldBytes -= request.bodyBytes;
    const levels = this.#levels.get(request.service) ?? [];
    const level = levels.find(({ priority }) => priority === request.priority);
    level?.flows.get(flowKey(request))?.requests.delete(request);
    // The shares are forgotten when no request of the service waits.
    if (levels.every(isEmpty)) this.#levels.delete(request.service);
    return request;
  }

  /** Removes a request that is sent, and counts it for the shares. */
  start(requestId: number): QueuedRequest | undefined {
    const request = this.#byId.get(requestId);
    if (request === undefined) return undefined;
    for (const level of this.#levels.get(request.service) ?? []) {
      if (level.priority === request.priority) {
        level.dueStarts = Math.max(0, level.dueStarts - 1);
        const flow = level.flows.get(flowKey(request));
        if (flow === undefined) continue;
        level.virtualMs = Math.max(level.virtualMs, flow.virtualMs);
        flow.virtualMs += request.serviceTimeMs / flow.weight;
      } else if (level.priority > request.priority && !isEmpty(level)) {
        level.dueStarts += LESS_URGENT_SHARE;
      }
    }
    return this.remove(requestId);
  }

  /**
   * Returns the held requests of a service in the order in which they should be
   * started: by priority, except for starts that are due to a less urgent one;
   * in it by the shares of the flows; in a flow those first that can still meet
   * their objective, by the time that is left for it, then by the deadline.
   */
  order(service: string, nowMs: number): QueuedRequest[] {
    const ordered: QueuedRequest[] = [];
    const dueFirst: QueuedRequest[] = [];
    for (const level of this.#levels.get(service) ?? []) {
      const requests = orderLevel(level, nowMs);
      dueFirst.push(...requests.splice(0, Math.floor(level.dueStarts)));
      ordered.push(...requests);
    }
    return [...dueFirst, ...ordered];
  }

  /** Whether a request fits, once another one is removed. */
  #hasRoomFor({ bodyBytes }: QueuedRequest, removed?: QueuedRequest): boolean {
    const { maxRequests, maxBytes } = this.#bounds;
    const heldBytes = this.#heldBytes - (removed?.bodyBytes ?? 0);
    return this.#byId.size < maxRequests + (removed === undefined ? 0 : 1) &&
      heldBytes + bodyBytes <= maxBytes;
  }

  #levelFor({ service, priority }: QueuedRequest): Level {
    let levels = this.#levels.get(service);
    if (levels === undefined) {
      levels = [];
      this.#levels.set(service, levels);
    }
    const existing = levels.find((level) => level.priority === priority);
    if (existing !== undefined) return existing;
    const level = { priority, flows: new Map(), virtualMs: 0, dueStarts: 0 };
    levels.push(level);
    levels.sort((a, b) => a.priority - b.priority);
    return level;
  }

  /**
   * Returns the latest request of the longest flow among the least urgent
   * requests, if it is to give way to a request.
   */
  #findDisplaceable(request: QueuedRequest): QueuedRequest | undefined {
    let longest: { flow: Flow; priority: number } | undefined;
    let ownLength = 1 / this.#weightOf(request);
    for (const levels of this.#levels.values()) {
      for (const { priority, flows } of levels) {
        if (priority < request.priority) continue;
        for (const [key, flow] of flows) {
          if (flow.requests.size === 0) continue;
          if (
            levels === this.#levels.get(request.service) &&
            priority === request.priority && key === flowKey(request)
          ) ownLength = lengthOf(flow);
          if (
            longest === undefined || priority > longest.priority ||
            (priority === longest.priority &&
              lengthOf(flow) > lengthOf(longest.flow))
          ) longest = { flow, priority };
        }
      }
    }
    if (longest === undefined) return undefined;
    const givesWay = longest.priority > request.priority ||
      lengthOf(longest.flow) > ownLength;
    return givesWay ? [...longest.flow.requests].at(-1) : undefined;
  }
}

function flowKey({ organisationId, routeId }: QueuedRequest): string {
  return `${routeId}/${organisationId}`;
}

/** Number of held requests of a flow, relative to its weight. */
function lengthOf({ requests, weight }: Flow): number {
  return requests.size / weight;
}

function isEmpty({ flows }: Level): boolean {
  for (const { requests } of flows.values()) {
    if (requests.size > 0) return false;
  }
  return true;
}

/** Orders the requests of a level by start-time fair queueing. */
function orderLevel({ flows }: Level, nowMs: number): QueuedRequest[] {
  const waiting = [...flows.values()].filter(({ requests }) =>
    requests.size > 0
  ).map(({ requests, weight, virtualMs }) => ({
    requests: [...requests].sort((a, b) => compareUrgency(a, b, nowMs)),
    weight,
    virtualMs,
    next: 0,
  }));
  const ordered: QueuedRequest[] = [];
  for (;;) {
    let first: typeof waiting[number] | undefined;
    for (const flow of waiting) {
      if (flow.next >= flow.requests.length) continue;
      if (first === undefined || flow.virtualMs < first.virtualMs) first = flow;
    }
    if (first === undefined) return ordered;
    const request = first.requests[first.next++];
    first.virtualMs += request.serviceTimeMs / first.weight;
    ordered.push(request);
  }
}

/** Compares by the time that is left for a response in the objective. */
function compareUrgency(
  a: QueuedRequest,
  b: QueuedRequest,
  nowMs: number,
): number {
  const [spareA, spareB] = [a, b].map(({ objectiveAtMs, serviceTimeMs }) =>
    objectiveAtMs - serviceTimeMs - nowMs
  );
  if (spareA >= 0 !== spareB >= 0) return spareA >= 0 ? -1 : 1;
  const byDeadline = a.deadlineMs - b.deadlineMs;
  if (spareA < 0) return byDeadline;
  // Without objectives the difference is not a number.
  return (spareA === spareB ? 0 : spareA - spareB) || byDeadline;
}
