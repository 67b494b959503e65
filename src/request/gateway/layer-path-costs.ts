/**
 * Costs of layer paths in milliseconds: the expected time of the request's tokens on each server, the hops between
 * parts, and penalties for standby servers, for memory use and for leaving an availability zone. Answers the load pattern
 * of many routers that all know the same loads, half a second late, and would all send the requests of that half second
 * to the same servers: each request draws the servers that it spares, the more likely the less room a server has for
 * the requests that arrive meanwhile.
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
 * as a path whose memory is full, so that paths leave a zone only for layers that no server of the zone holds.
 */
const zoneCrossingCostMilliseconds = 5_000;
/**
 * Cost of using a standby server, or one that is spared in favour of other routers' requests: less than a zone crossing,
 * so that a zone with lost servers first uses its own servers, and more than a path whose memory is half full.
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
/**
 * Cost of a path whose memory is full, twice the time of a typical response; grows with the square of the memory use.
 */
const fullMemoryCostMilliseconds = 5_000;
/** Memory use of a server, as a share of its token capacity, above which requests may be preempted. */
const memoryWatermark = 0.85;
/** Cost of raising a server's memory use from the watermark to full: a preempted request repeats its prefill. */
const preemptionCostMilliseconds = 2_000;
/** Random share of a server's cost that spreads requests over servers of equal cost. */
const serverJitterShare = 0.05;
/** Random share of a zone's cost that spreads requests over zones of similar cost. */
const zoneJitterShare = 0.5;
const bitsPerByte = 8;
const bitsPerMegabit = 1e6;
const millisecondsPerSecond = 1_000;

/** Draws the costs of the servers for one request; returns them grouped by availability zone. */
export function drawServerCosts(
    servers: readonly PathServer[],
    engine: EngineProfile,
    size: RequestSize,
    random: RandomSource,
): ServerCost[][] {
    const zones = new Map<string, { readonly factor: number; readonly members: ServerCost[]; }>();
    const arriving = estimateArrivingTokens(servers, engine);
    for (const server of servers) {
        const { availabilityZone } = server.entry;
        let zone = zones.get(availabilityZone);
        if (zone === undefined) {
            zone = { factor: 1 + zoneJitterShare * random.next(), members: [] };
            zones.set(availabilityZone, zone);
        }
        const room = Math.max(0, memoryWatermark * server.tokenCapacity - server.tokens);
        // Of the requests that arrive before the next notice, the server is used by no more than it has room for.
        const spared = server.standby || random.next() * arriving > room;
        const jitter = 1 + serverJitterShare * random.next();
        zone.members.push({
            server,
            layerCost: zone.factor * jitter * computeLayerCost(server, engine, size),
            useCost: spared ? zone.factor * sparedServerCostMilliseconds : 0,
        });
    }
    return [...zones.values()].map(({ members }) => members);
}

/**
 * Tokens of the requests that all routers together send before the next notice. In a steady state as many requests
 * arrive as end, so the share of the running tokens that arrives is the interval's share of a request's duration on the
 * servers that run them.
 */
function estimateArrivingTokens(servers: readonly PathServer[], engine: EngineProfile): number {
    let layerTokens = 0;
    let stepMilliseconds = 0;
    for (const server of servers) {
        const weight = server.tokens * layerCount(server.layers);
        layerTokens += weight;
        stepMilliseconds += weight * computeStepMilliseconds(server, engine);
    }
    if (layerTokens <= 0) {
        return 0;
    }
    const durationMilliseconds = engine.typicalOutputTokens * stepMilliseconds / layerTokens;
    return (layerTokens / engine.layerCount) * Math.min(1, noticeIntervalMilliseconds / durationMilliseconds);
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

/** Cost of one layer on one server: weighted expected time for all tokens of the request, and memory penalties. */
function computeLayerCost(server: PathServer, engine: EngineProfile, size: RequestSize): number {
    const decodeMilliseconds = size.outputTokens * computeStepMilliseconds(server, engine);
    const prefillMilliseconds = (size.promptTokens / engine.prefillTokensPerMillisecond) * server.prefillFactor;
    const memoryUse = (server.tokens + size.promptTokens + size.outputTokens) / server.tokenCapacity;
    const aboveWatermark = Math.max(0, memoryUse - memoryWatermark) / (1 - memoryWatermark);
    const memoryCost = fullMemoryCostMilliseconds * memoryUse ** 2 + preemptionCostMilliseconds * aboveWatermark;
    return (expectedTimeWeight * (decodeMilliseconds + prefillMilliseconds) + memoryCost) / engine.layerCount;
}
