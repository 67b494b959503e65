/**
 * Lays out pipelines across availability zones for models that fit in no single zone. Servers are chained zone by
 * zone, so that a token crosses each slow link once. A pipeline stays within one region if a region is large enough.
 */
import type { Topology } from "../../domain/topology.js";
import { layersThatFit, layoutPipeline } from "./layer-layout.js";
import type { ModelLayout } from "./placement-draft.js";
import type { LayoutServer, ModelShare, PlacedRange } from "./types.js";
import { groupByZone, type ZoneServers } from "./zone-targets.js";

/**
 * Servers are added to a pipeline until the layers that fit in them reach this multiple of the model's layers. The
 * surplus leaves room for layers that two servers both hold.
 */
const memoryHeadroomFactor = 1.2;

/** Lays out the models that fit in no single zone, each with servers that no earlier model uses. */
export function* layoutCrossZoneModels(
    shares: readonly ModelShare[],
    members: readonly LayoutServer[],
): Generator<void, ModelLayout[]> {
    const fleetCapacity = members.reduce((sum, member) => sum + member.capacity, 0);
    const layouts: ModelLayout[] = [];
    const zones = yield* groupByZone(members);
    let free = members;
    for (const share of shares) {
        if (zones.some(zone => fits(zone.members, share))) {
            continue;
        }
        const candidates = chooseServers(yield* groupByZone(free), share);
        const ranges = candidates === undefined
            ? []
            : layoutPipelinesAcrossZones(candidates, share, fleetCapacity * share.share);
        const used = new Set(ranges.map(range => range.member));
        free = free.filter(member => !used.has(member));
        layouts.push({ share, zone: undefined, ranges });
        yield;
    }
    return layouts;
}

function fits(members: readonly LayoutServer[], share: ModelShare): boolean {
    return fittingLayers(members, share) >= share.model.layerTotal;
}

function fittingLayers(members: readonly LayoutServer[], share: ModelShare): number {
    return members.reduce((sum, member) => sum + layersThatFit(member, share.model), 0);
}

/** The servers of the region with the most room for the model, or else of all zones; undefined if it does not fit. */
function chooseServers(zones: readonly ZoneServers[], share: ModelShare): readonly LayoutServer[] | undefined {
    const regions = [...new Set(zones.map(zone => zone.region))];
    const candidatesByRegion = regions.map(region =>
        zones.filter(zone => zone.region === region).flatMap(zone => zone.members)
    );
    const fittingRegions = candidatesByRegion
        .filter(servers => fits(servers, share))
        .sort((left, right) => fittingLayers(right, share) - fittingLayers(left, share));
    const fleet = zones.flatMap(zone => zone.members);
    return fittingRegions[0] ?? (fits(fleet, share) ? fleet : undefined);
}

/** Divides the servers, in zone order, into pipelines until their capacity reaches the target. */
function layoutPipelinesAcrossZones(
    servers: readonly LayoutServer[],
    share: ModelShare,
    target: number,
): PlacedRange[] {
    const ranges: PlacedRange[] = [];
    let pipeline: LayoutServer[] = [];
    let capacity = 0;
    let index = 0;
    for (const member of servers) {
        pipeline.push(member);
        const isReady = fittingLayers(pipeline, share) >= share.model.layerTotal * memoryHeadroomFactor
            || member === servers.at(-1);
        const layout = isReady ? layoutPipeline(pipeline, share.model) : undefined;
        if (layout !== undefined) {
            const name = `wide/${share.model.name}/${index++}`;
            pipeline.forEach((server, position) => {
                const layers = layout.ranges[position];
                if (layers !== undefined) {
                    ranges.push({ member: server, layers, pipeline: name });
                }
            });
            capacity += pipeline.reduce((sum, server) => sum + server.capacity, 0);
            pipeline = [];
            if (capacity >= target) {
                break;
            }
        }
    }
    return ranges;
}

/** Tokens per second that the slowest link between any two zones of the ranges can carry. */
export function slowestLinkTokensPerSecond(
    ranges: readonly PlacedRange[],
    activationBytes: number,
    topology: Topology,
): number {
    const byZone = new Map(ranges.map(range => [range.member.zone, range.member.server.description]));
    const zones = [...byZone.values()];
    let limit = Number.POSITIVE_INFINITY;
    for (const from of zones) {
        for (const to of zones) {
            if (from !== to) {
                const link = topology.link(from, to);
                limit = Math.min(limit, link.bytesPerSecond / activationBytes);
            }
        }
    }
    return limit;
}
