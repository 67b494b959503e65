/**
 * Finds the cheapest pipeline of backend servers (layer path) for one request through the layers of a model. Servers
 * hold overlapping ranges, so a path may use only some of the layers that a server holds. The cost is the expected time
 * of the request's tokens on each part, the hops between parts, and penalties for standby servers and for memory use.
 */
import type { RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { PathPart } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";

/** A candidate server with its last known load. */
export interface PathServer {
    readonly entry: ServerEntry;
    readonly layers: LayerRange;
    /** Other servers hold its layers too; it is kept free to load the layers of a lost server. */
    readonly standby: boolean;
    /** Time of a decode step relative to the engine profile. */
    readonly stepFactor: number;
    /** Prefill time relative to the engine profile. */
    readonly prefillFactor: number;
    /** Running requests whose paths include the server. */
    readonly requests: number;
    /** Tokens of these requests, prompt and expected output. */
    readonly tokens: number;
    /** Tokens whose KV cache fits into the server's memory. */
    readonly tokenCapacity: number;
}

/** Tokens of the prompt and the expected tokens of the output. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** A pipeline stage: a backend server and the layers that it computes for the request. */
export interface LayerPathPart {
    readonly server: ServerEntry;
    readonly layers: LayerRange;
}

export interface LayerPath {
    /** In layer order. */
    readonly parts: readonly LayerPathPart[];
    /** Weighted expected time plus penalties, in milliseconds. */
    readonly cost: number;
}

/** The layers that a path has to cover, and the availability zone from which the request enters it. */
export interface PathSpan {
    readonly layers: LayerRange;
    /** Preferred availability zone of the first part. */
    readonly zone: string;
    /** The span follows a part in `zone`, so that a first part in another zone costs a full zone crossing. */
    readonly followsPart: boolean;
}

/** Counts the hops between parts in different availability zones. */
export function countZoneCrossings({ parts }: LayerPath): number {
    return parts.filter(({ server }, index) =>
        index > 0 && parts[index - 1]!.server.availabilityZone !== server.availabilityZone
    ).length;
}

export function addressedParts({ parts }: LayerPath): PathPart[] {
    return parts.map(({ server, layers }) => ({ address: server.address, layers }));
}

/** Formats the path for the log as `SERVER=LAYERS`, separated by commas. */
export function formatPath({ parts }: LayerPath): string {
    return parts.map(({ server, layers }) => `${server.id}=${formatLayerRange(layers)}`).join(",");
}

export interface LayerPathFinder {
    /** Returns undefined if the servers do not hold all layers of the span. */
    find(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined;
}

/** One-way delay within a zone; an assumption, since the platform states delays between zones only. */
const sameZoneHopMilliseconds = 0.2;
/**
 * A zone crossing uses bandwidth of a link that all requests share, and its traffic is billed. It costs about as much
 * as a path whose memory is full, so that paths leave a zone only for layers that no server of the zone holds.
 */
const zoneCrossingCostMilliseconds = 5_000;
/**
 * Cost of using a standby server: less than a zone crossing, so that a zone with lost servers first uses its own
 * standby servers, and more than a path whose memory is half full.
 */
const standbyCostMilliseconds = 1_600;
/** Cost of a first part in another zone than the router's: one round trip between zones, and billed traffic. */
const remoteStartCostMilliseconds = 5;
/**
 * Weight of the expected time. Every path that is not full meets the latency targets, so balanced memory use counts
 * more than speed: the loss of a server then affects only a part of the requests, and the other servers have room for
 * them.
 */
const expectedTimeWeight = 0.3;
/**
 * Cost of a path whose memory is full, twice the time of a typical response; grows with the square of the memory use.
 */
const fullMemoryCostMilliseconds = 5_000;
/** Memory use of a server, as a share of its token capacity, above which requests may be preempted. */
const memoryWatermark = 0.85;
/** Cost of raising a server's memory use from the watermark to full: a preempted request repeats its prefill. */
const preemptionCostMilliseconds = 2_000;
/** Random share of the time cost that spreads requests over servers of equal cost. */
const costJitterShare = 0.05;
/**
 * Random share of a zone's cost that spreads requests over zones of similar cost. All routers know the same loads,
 * which are half a second old, and would otherwise all switch to the same zone at once.
 */
const zoneJitterShare = 0.5;
const bitsPerByte = 8;
const bitsPerMegabit = 1e6;
const millisecondsPerSecond = 1_000;

/** The cheapest known path from the start of the span to the end of one server's part. */
interface PartialPath {
    readonly cost: number;
    /** Index of the last part's server. */
    readonly lastServerIndex: number;
    /** First layer of the last part. */
    readonly firstLayer: number;
    readonly previous: PartialPath | undefined;
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
        const crossZoneHopCost = computeCrossZoneHopCost(engine, size);
        const remoteStartCost = span.followsPart ? crossZoneHopCost : remoteStartCostMilliseconds;
        const sameZoneHopCost = sameZoneHopMilliseconds * size.outputTokens;
        // For each boundary, the cheapest partial paths that end there, by the index of their last server.
        const partialPaths = new Map<number, (PartialPath | undefined)[]>(boundaries.map(boundary => [boundary, []]));
        const extend = (from: PartialPath | undefined, partStart: number, index: number) => {
            const server = servers[index]!;
            const sameZone = from === undefined
                || servers[from.lastServerIndex]!.entry.availabilityZone === server.entry.availabilityZone;
            const startCost = server.entry.availabilityZone === span.zone ? 0 : remoteStartCost;
            const hopCost = from === undefined ? startCost : sameZone ? sameZoneHopCost : crossZoneHopCost;
            for (const partEnd of boundaries) {
                if (partEnd <= partStart || partEnd > server.layers.last + 1) {
                    continue;
                }
                const cost = (from?.cost ?? 0) + hopCost
                    + (server.standby ? standbyCostMilliseconds * zoneFactors[index]! : 0)
                    + layerCosts[index]! * (partEnd - partStart);
                const reached = partialPaths.get(partEnd)!;
                if (cost < (reached[index]?.cost ?? Infinity)) {
                    reached[index] = { cost, lastServerIndex: index, firstLayer: partStart, previous: from };
                }
            }
        };
        for (const partStart of boundaries.slice(0, -1)) {
            for (const [index, server] of servers.entries()) {
                if (server.layers.first > partStart || server.layers.last < partStart) {
                    continue;
                }
                if (partStart === span.layers.first) {
                    extend(undefined, partStart, index);
                }
                for (const from of partialPaths.get(partStart)!) {
                    if (from !== undefined && from.lastServerIndex !== index) {
                        extend(from, partStart, index);
                    }
                }
            }
        }
        const last = findCheapest(partialPaths.get(end) ?? []);
        return last === undefined ? undefined : { cost: last.cost, parts: toParts(last, servers, end) };
    }

    /** Draws a random factor for each zone, anew for each path; returns the factor of each server's zone. */
    private drawZoneFactors(servers: readonly PathServer[]): number[] {
        const factors = new Map<string, number>();
        return servers.map(({ entry: { availabilityZone } }) => {
            const factor = factors.get(availabilityZone) ?? 1 + zoneJitterShare * this.random.next();
            factors.set(availabilityZone, factor);
            return factor;
        });
    }

    /** Cost of one layer on one server: weighted expected time for all tokens of the request, and memory penalties. */
    private layerCost(server: PathServer, engine: EngineProfile, size: RequestSize): number {
        const contextThousands = server.tokens / 1_000;
        const stepTime = engine.stepMilliseconds
            + engine.stepMillisecondsPerRequest * (server.requests + 1)
            + engine.stepMillisecondsPerThousandTokens * contextThousands;
        const decodeMilliseconds = size.outputTokens * stepTime * server.stepFactor;
        const prefillMilliseconds = (size.promptTokens / engine.prefillTokensPerMillisecond) * server.prefillFactor;
        const memoryUse = (server.tokens + size.promptTokens + size.outputTokens) / server.tokenCapacity;
        const aboveWatermark = Math.max(0, memoryUse - memoryWatermark) / (1 - memoryWatermark);
        const expectedMilliseconds = (decodeMilliseconds + prefillMilliseconds) / engine.layerCount;
        const memoryCost = fullMemoryCostMilliseconds * memoryUse ** 2 + preemptionCostMilliseconds * aboveWatermark;
        return expectedTimeWeight * expectedMilliseconds * (1 + costJitterShare * this.random.next())
            + memoryCost / engine.layerCount;
    }
}

function computeCrossZoneHopCost(engine: EngineProfile, size: RequestSize): number {
    const tokens = size.promptTokens + size.outputTokens;
    const seconds = (tokens * engine.activationBytes * bitsPerByte)
        / (engine.zoneLinkMegabitsPerSecond * bitsPerMegabit);
    return zoneCrossingCostMilliseconds + seconds * millisecondsPerSecond + sameZoneHopMilliseconds * size.outputTokens;
}

/** Returns the layers at which a part can start, in order, and the layer after the last one. */
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

function findCheapest(partialPaths: readonly (PartialPath | undefined)[]): PartialPath | undefined {
    return partialPaths.reduce(
        (best, partialPath) =>
            partialPath !== undefined && partialPath.cost < (best?.cost ?? Infinity) ? partialPath : best,
        undefined,
    );
}

/**
 * Builds the parts from the last one backwards. If a server occurs twice, its part is extended over all layers in
 * between, which it holds because it holds one contiguous range.
 */
function toParts(last: PartialPath, servers: readonly PathServer[], spanEnd: number): LayerPathPart[] {
    const parts: { server: ServerEntry; layers: LayerRange; }[] = [];
    let end = spanEnd;
    for (let state: PartialPath | undefined = last; state !== undefined; state = state.previous) {
        const { entry } = servers[state.lastServerIndex]!;
        const duplicate = parts.findIndex(({ server }) => server === entry);
        const lastLayer = duplicate === -1 ? end - 1 : parts[duplicate]!.layers.last;
        parts.splice(0, duplicate + 1, { server: entry, layers: { first: state.firstLayer, last: lastLayer } });
        end = state.firstLayer;
    }
    return parts;
}
