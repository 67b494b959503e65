/**
 * Costs of layer paths in milliseconds: the expected time of the request's tokens on each server, the hops between
 * parts, and penalties for standby servers, for memory use and for leaving an availability zone. Answers the load pattern
 * of many routers that all know the same loads, half a second late, and would all send the requests of that half second
 * to the same servers: each request assumes that a part of these requests, drawn at random for each server, already
 * runs there.
 */
import type { RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import { layerCount } from "../../domain/layers.js";
import { noticeIntervalMilliseconds } from "../../process/gateway/fleet-load.js";
import type { PathServer, PathSpan, RequestSize } from "./layer-path-finder.js";

/** A server with the costs of using it for one request. */
export interface ServerCost {
    readonly server: PathServer;
    /** Cost of each layer that the server computes. */
    readonly layerCost: number;
    /** Cost of using the server at all. */
    readonly useCost: number;
}

/** Costs of passing a request's activations on. */
export interface HopCosts {
    readonly sameZone: number;
    readonly crossZone: number;
    /** Cost of a first part in another zone than the span's. */
    readonly remoteStart: number;
}

/** One-way delay within a zone; an assumption, since the platform states delays between zones only. */
const sameZoneHopMilliseconds = 0.2;
/**
 * A zone crossing uses bandwidth of a link that all requests share, and its traffic is billed. It costs about as much
 * as a server whose memory is full, so that paths leave a zone only for layers that no server of the zone holds.
 */
const zoneCrossingCostMilliseconds = 5_000;
/**
 * Cost of using a standby server, or one that is spared in favour of other routers' requests: less than a zone crossing,
 * so that a zone with lost servers first uses its own servers, and more than a server whose memory is half full.
 */
const sparedServerCostMilliseconds = 1_600;
/** Cost of a first part in another zone than the router's: one round trip between zones, and billed traffic. */
const remoteStartCostMilliseconds = 5;
/**
 * Weight of the expected time. Every path that is not full meets the latency targets, so balanced memory use counts
 * more than speed: the loss of a server then affects only a part of the requests, and the other servers have room for
 * them.
 */
const expectedTimeWeight = 0.3;
/** Cost of a server, or with the baseline of a path, whose memory is full: twice the time of a typical response. */
const fullMemoryCostMilliseconds = 5_000;
/** Memory use of a server, as a share of its token capacity, above which requests may be preempted. */
const memoryWatermark = 0.85;
/** Cost of raising a server's memory use from the watermark to full: a preempted request repeats its prefill. */
const preemptionCostMilliseconds = 2_000;
/** Random share of a server's cost that spreads requests over servers of equal cost. */
const serverJitterShare = 0.05;
/**
 * A path is as full as its fullest server, so the costs of its servers are added up with a power that lets the fullest
 * one decide: a server 1.2 times as full costs twice as much.
 */
const memoryUseExponent = 4;
const bitsPerByte = 8;
const bitsPerMegabit = 1e6;
const millisecondsPerSecond = 1_000;

/** Memory of one server as a request finds it. */
export interface ServerMemory {
    /** Share of the server's token capacity that is in use with the request, by the last known loads. */
    readonly knownUse: number;
    /** `knownUse` with the requests that are assumed to have arrived since the loads were counted; may exceed 1. */
    readonly drawnUse: number;
}

/** Decides what memory use costs, in milliseconds. */
export interface MemoryCosts {
    /** Cost of a path all of whose layers are on the server; the server's share of the layers applies. */
    forAllLayers(memory: ServerMemory): number;
    /** Cost of using the server for any number of layers. */
    forServer(memory: ServerMemory): number;
}

/**
 * Baseline: by the known loads, weighted with the server's share of the layers. Full servers that hold few layers hardly
 * count, and all requests between two notices find the same cheapest path.
 */
export class KnownUseMemoryCosts implements MemoryCosts {
    forAllLayers({ knownUse }: ServerMemory): number {
        const aboveWatermark = Math.max(0, knownUse - memoryWatermark) / (1 - memoryWatermark);
        return fullMemoryCostMilliseconds * knownUse ** 2 + preemptionCostMilliseconds * aboveWatermark;
    }

    forServer(): number {
        return 0;
    }
}

/**
 * By the drawn loads, whatever number of layers the server holds, so that the fullest server of a path decides. Answers
 * the load pattern of servers that fill within one notice interval: the requests of an interval spread over all servers
 * with room instead of filling the one that was the emptiest.
 */
export class DrawnUseMemoryCosts implements MemoryCosts {
    forAllLayers(): number {
        return 0;
    }

    forServer({ drawnUse }: ServerMemory): number {
        return fullMemoryCostMilliseconds * drawnUse ** memoryUseExponent;
    }
}

/** Draws the costs of the servers for one request; returns them by availability zone. */
export function drawServerCosts(
    servers: readonly PathServer[],
    engine: EngineProfile,
    size: RequestSize,
    memoryCosts: MemoryCosts,
    random: RandomSource,
): Map<string, ServerCost[]> {
    const zones = new Map<string, ServerCost[]>();
    const arriving = estimateArrivingTokens(servers, engine);
    const requestTokens = size.promptTokens + size.outputTokens;
    for (const server of servers) {
        const { tokens, entry: { availabilityZone } } = server;
        const tokenCapacity = finiteTokenCapacity(server);
        const drawnTokens = tokens + random.next() * arriving;
        // Of the requests that arrive before the next notice, the server is used by no more than it has room for.
        const spared = server.standby || drawnTokens > Math.max(tokens, memoryWatermark * tokenCapacity);
        const jitter = 1 + serverJitterShare * random.next();
        const memory = {
            knownUse: (tokens + requestTokens) / tokenCapacity,
            drawnUse: (drawnTokens + requestTokens) / tokenCapacity,
        };
        const allLayersCost = computeExpectedTimeCost(server, engine, size) + memoryCosts.forAllLayers(memory);
        const members = zones.get(availabilityZone) ?? [];
        members.push({
            server,
            layerCost: jitter * allLayersCost / engine.layerCount,
            useCost: memoryCosts.forServer(memory) + (spared ? sparedServerCostMilliseconds : 0),
        });
        zones.set(availabilityZone, members);
    }
    return zones;
}

/**
 * Least part of the fleet's token capacity that is assumed to arrive before the next notice: what arrives at a fleet that
 * is half full of requests that last five notices. It holds while the loads say nothing, as after a start of all routers.
 */
const minimumArrivingShare = 0.1;

/**
 * Tokens of the requests that all routers together send before the next notice. In a steady state as many requests
 * arrive as end, so the share of the running tokens that arrives is the interval's share of a request's duration on the
 * servers that run them.
 */
export function estimateArrivingTokens(servers: readonly PathServer[], engine: EngineProfile): number {
    let layerTokens = 0;
    let layerCapacity = 0;
    let stepMilliseconds = 0;
    for (const server of servers) {
        const layers = layerCount(server.layers);
        const weight = server.tokens * layers;
        layerTokens += weight;
        layerCapacity += finiteTokenCapacity(server) * layers;
        stepMilliseconds += weight * computeStepMilliseconds(server, engine);
    }
    const minimum = minimumArrivingShare * layerCapacity / engine.layerCount;
    if (layerTokens <= 0) {
        return minimum;
    }
    const durationMilliseconds = engine.typicalOutputTokens * stepMilliseconds / layerTokens;
    const share = Math.min(1, noticeIntervalMilliseconds / durationMilliseconds);
    return Math.max(minimum, share * layerTokens / engine.layerCount);
}

/** More tokens than any accelerator holds; stands for a capacity without limit, of a profile whose tokens take no memory. */
const unlimitedTokenCapacity = 1e9;

export function finiteTokenCapacity({ tokenCapacity }: PathServer): number {
    return Math.min(unlimitedTokenCapacity, tokenCapacity);
}

/** Duration of a decoding step through all layers of the model, if all of them were on the server. */
function computeStepMilliseconds({ requests, tokens, stepFactor }: PathServer, engine: EngineProfile): number {
    return stepFactor * (engine.stepMilliseconds
        + engine.stepMillisecondsPerRequest * (requests + 1)
        + engine.stepMillisecondsPerThousandTokens * tokens / 1_000);
}

export function hopCosts(engine: EngineProfile, size: RequestSize, span: PathSpan): HopCosts {
    const sameZone = sameZoneHopMilliseconds * size.outputTokens;
    const tokens = size.promptTokens + size.outputTokens;
    const transferSeconds = (tokens * engine.activationBytes * bitsPerByte)
        / (engine.zoneLinkMegabitsPerSecond * bitsPerMegabit);
    const crossZone = zoneCrossingCostMilliseconds + transferSeconds * millisecondsPerSecond + sameZone;
    return { sameZone, crossZone, remoteStart: span.followsPart ? crossZone : remoteStartCostMilliseconds };
}

/** Weighted expected time for all tokens of the request, if all layers were on the server. */
function computeExpectedTimeCost(server: PathServer, engine: EngineProfile, size: RequestSize): number {
    const decodeMilliseconds = size.outputTokens * computeStepMilliseconds(server, engine);
    const prefillMilliseconds = (size.promptTokens / engine.prefillTokensPerMillisecond) * server.prefillFactor;
    return expectedTimeWeight * (decodeMilliseconds + prefillMilliseconds);
}
