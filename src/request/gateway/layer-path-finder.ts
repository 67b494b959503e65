/**
 * Finds the cheapest way of one request through the layers of a model. Servers hold overlapping ranges, so a path may
 * use a part of what a server holds. The cost is the expected time of the request's tokens on each part, the hops between
 * parts, and a penalty where memory or slots run short.
 */
import type { RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { PathPart } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";

/** A server that may take part, with the load that is known of it. */
export interface PathServer {
    readonly entry: ServerEntry;
    readonly layers: LayerRange;
    /** Others hold its layers too; it is kept free to take lost ones. */
    readonly standby: boolean;
    readonly stepFactor: number;
    readonly readFactor: number;
    /** Requests that run through it. */
    readonly requests: number;
    /** Tokens whose KV cache it holds. */
    readonly tokens: number;
    /** Tokens whose KV cache fits. */
    readonly tokenCapacity: number;
}

export interface RequestSize {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

export interface LayerPathPart {
    readonly server: ServerEntry;
    readonly layers: LayerRange;
}

export interface LayerPath {
    readonly parts: readonly LayerPathPart[];
    /** Expected time, with penalties, in milliseconds. */
    readonly cost: number;
}

/** What a path has to span, and from where. */
export interface PathSpan {
    readonly layers: LayerRange;
    /** Where the first part should lie. */
    readonly zone: string;
    /** The span begins behind another part of the zone, so that another zone means a crossing. */
    readonly followsPart: boolean;
}

/** Times that a request on the path passes from one availability zone to another. */
export function countZoneCrossings({ parts }: LayerPath): number {
    return parts.filter(({ server }, index) =>
        index > 0 && parts[index - 1]!.server.availabilityZone !== server.availabilityZone
    ).length;
}

export function addressedParts({ parts }: LayerPath): PathPart[] {
    return parts.map(({ server, layers }) => ({ address: server.address, layers }));
}

export function formatPath({ parts }: LayerPath): string {
    return parts.map(({ server, layers }) => `${server.id}=${formatLayerRange(layers)}`).join(",");
}

export interface LayerPathFinder {
    find(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined;
}

/** One way inside a zone; the platform states delays between zones only. */
const hopMilliseconds = 0.2;
/**
 * A crossing between zones takes room on a link that all requests share, and its bytes are priced; it costs about as much
 * as a path whose memory is full, so that paths leave a zone only where its own servers are missing.
 */
const zoneCrossingMilliseconds = 5_000;
/**
 * Using a server that is kept free: less than a crossing, so that a broken zone helps itself first, and more than a path
 * whose memory is half full.
 */
const standbyMilliseconds = 1_600;
/** Starting in another zone than the router's own: one way there and back, and bytes that are priced. */
const foreignStartMilliseconds = 5;
/**
 * Weight of the expected time. Every path meets the targets as long as it is not full, so that an even share of memory
 * counts more than speed: what is lost with a server then is a part of all requests, and the others have room for it.
 */
const timeWeight = 0.3;
/** Cost of a path whose memory is full; it grows with the square of the filled share. Twice a usual answer's time. */
const fullMemoryMilliseconds = 5_000;
/** Share of a server's memory above which requests risk being preempted. */
const memoryWatermark = 0.85;
/** Cost of filling a server's memory from the watermark to the brim: a preempted request reads its prompt again. */
const preemptionMilliseconds = 2_000;
/** Spreads requests over servers that cost the same. */
const randomShare = 0.05;
/**
 * Spreads requests over zones that cost about the same: all routers know the same loads, half a second old, and would
 * otherwise all turn to the same zone at once.
 */
const zoneSpread = 0.5;
const bitsPerByte = 8;
const bitsPerMegabit = 1e6;
const millisecondsPerSecond = 1_000;

interface State {
    readonly cost: number;
    readonly server: number;
    /** Index of the layer at which the server's part begins. */
    readonly first: number;
    readonly before: State | undefined;
}

export class CheapestLayerPathFinder implements LayerPathFinder {
    constructor(private readonly random: RandomSource) {}

    find(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined {
        const end = span.layers.last + 1;
        const boundaries = listBoundaries(servers, span.layers);
        const zoneFactors = this.drawZoneFactors(servers);
        const layerCosts = servers.map((server, index) => zoneFactors[index]! * this.layerCost(server, engine, size));
        const zoneHop = zoneHopCost(engine, size);
        const foreignStart = span.followsPart ? zoneHop : foreignStartMilliseconds;
        const localHop = hopMilliseconds * size.outputTokens;
        const states = new Map<number, (State | undefined)[]>(boundaries.map(boundary => [boundary, []]));
        const extend = (from: State | undefined, at: number, index: number) => {
            const server = servers[index]!;
            const sameZone = from === undefined
                || servers[from.server]!.entry.availabilityZone === server.entry.availabilityZone;
            const start = server.entry.availabilityZone === span.zone ? 0 : foreignStart;
            const hop = from === undefined ? start : sameZone ? localHop : zoneHop;
            for (const until of boundaries) {
                if (until <= at || until > server.layers.last + 1) {
                    continue;
                }
                const cost = (from?.cost ?? 0) + hop + (server.standby ? standbyMilliseconds * zoneFactors[index]! : 0)
                    + layerCosts[index]! * (until - at);
                const reached = states.get(until)!;
                if (cost < (reached[index]?.cost ?? Infinity)) {
                    reached[index] = { cost, server: index, first: at, before: from };
                }
            }
        };
        for (const at of boundaries.slice(0, -1)) {
            for (const [index, server] of servers.entries()) {
                if (server.layers.first > at || server.layers.last < at) {
                    continue;
                }
                if (at === span.layers.first) {
                    extend(undefined, at, index);
                }
                for (const from of states.get(at)!) {
                    if (from !== undefined && from.server !== index) {
                        extend(from, at, index);
                    }
                }
            }
        }
        const last = cheapest(states.get(end) ?? []);
        return last === undefined ? undefined : { cost: last.cost, parts: toParts(last, servers, end) };
    }

    /** The factor of each server's zone, drawn anew for each path. */
    private drawZoneFactors(servers: readonly PathServer[]): number[] {
        const factors = new Map<string, number>();
        return servers.map(({ entry: { availabilityZone } }) => {
            const factor = factors.get(availabilityZone) ?? 1 + zoneSpread * this.random.next();
            factors.set(availabilityZone, factor);
            return factor;
        });
    }

    /** Expected time of one layer for all tokens of the request, on one server. */
    private layerCost(server: PathServer, engine: EngineProfile, size: RequestSize): number {
        const contextThousands = server.tokens / 1_000;
        const step = engine.stepMilliseconds
            + engine.stepMillisecondsPerRequest * (server.requests + 1)
            + engine.stepMillisecondsPerThousandTokens * contextThousands;
        const generating = size.outputTokens * step * server.stepFactor;
        const reading = (size.promptTokens / engine.readTokensPerMillisecond) * server.readFactor;
        const filled = (server.tokens + size.promptTokens + size.outputTokens) / server.tokenCapacity;
        const overfull = Math.max(0, filled - memoryWatermark) / (1 - memoryWatermark);
        const expected = (generating + reading) / engine.layerCount;
        const memory = fullMemoryMilliseconds * filled ** 2 + preemptionMilliseconds * overfull;
        return timeWeight * expected * (1 + randomShare * this.random.next()) + memory / engine.layerCount;
    }
}

function zoneHopCost(engine: EngineProfile, size: RequestSize): number {
    const tokens = size.promptTokens + size.outputTokens;
    const seconds = (tokens * engine.activationBytes * bitsPerByte)
        / (engine.zoneLinkMegabitsPerSecond * bitsPerMegabit);
    return zoneCrossingMilliseconds + seconds * millisecondsPerSecond + hopMilliseconds * size.outputTokens;
}

/** Layers at which a part can begin or end, in order. */
function listBoundaries(servers: readonly PathServer[], span: LayerRange): number[] {
    const boundaries = new Set([span.first, span.last + 1]);
    for (const { layers } of servers) {
        boundaries.add(layers.first);
        boundaries.add(layers.last + 1);
    }
    return [...boundaries]
        .filter(boundary => boundary >= span.first && boundary <= span.last + 1)
        .sort((left, right) => left - right);
}

function cheapest(states: readonly (State | undefined)[]): State | undefined {
    return states.reduce(
        (best, state) => state !== undefined && state.cost < (best?.cost ?? Infinity) ? state : best,
        undefined,
    );
}

/** A server that would come twice takes everything in between as well: what it holds is one range. */
function toParts(last: State, servers: readonly PathServer[], spanEnd: number): LayerPathPart[] {
    const parts: { server: ServerEntry; layers: LayerRange; }[] = [];
    let end = spanEnd;
    for (let state: State | undefined = last; state !== undefined; state = state.before) {
        const { entry } = servers[state.server]!;
        const again = parts.findIndex(({ server }) => server === entry);
        const lastLayer = again === -1 ? end - 1 : parts[again]!.layers.last;
        parts.splice(0, again + 1, { server: entry, layers: { first: state.first, last: lastLayer } });
        end = state.first;
    }
    return parts;
}
