/** Builds a placement as one layout per model and availability zone, either from current holdings or from scratch. */
import { containsRange, layerCount } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { layoutCrossZoneModels } from "./cross-zone-pipelines.js";
import { chooseRangeForWeakestLayers, layersThatFit, layoutServers } from "./layer-layout.js";
import { coversAllLayers, findChains } from "./pipeline-chains.js";
import { allocatedCapacity, type KeptRangeLookup, ServerAllocator } from "./server-allocator.js";
import type { LayoutServer, ModelAllocation, ModelShare, PlacedRange, PlacementInput } from "./types.js";
import { groupByZone, type ZoneServers, ZoneTargetChooser, type ZoneTargets } from "./zone-targets.js";

/** The layer ranges of one model in one availability zone, or across zones. */
export interface ModelLayout {
    readonly share: ModelShare;
    /** The availability zone, or undefined for pipelines that cross zones. */
    readonly zone: string | undefined;
    readonly ranges: readonly PlacedRange[];
}

/** Builds the layouts; with `keepCurrent`, servers keep the ranges that they hold where the model still needs them. */
export function* draftPlacement(
    input: PlacementInput,
    shares: readonly ModelShare[],
    members: readonly LayoutServer[],
    keepCurrent: boolean,
): Generator<void, ModelLayout[]> {
    const keptRange: KeptRangeLookup = keepCurrent ? member => findKeptRange(member, input.models) : () => undefined;
    const crossZone = yield* layoutCrossZoneModels(shares, members);
    yield;
    const used = new Set(crossZone.flatMap(layout => layout.ranges.map(range => range.member)));
    const zones = yield* groupByZone(used.size === 0 ? members : members.filter(member => !used.has(member)));
    yield;
    const layouts: ModelLayout[] = [...crossZone];
    for (const allocation of yield* allocateZones(zones, shares, keptRange)) {
        layouts.push({ share: allocation.share, zone: allocation.zone, ranges: yield* layoutAllocation(allocation) });
    }
    return layouts;
}

/**
 * The held range that a server keeps: of the model's current version if possible, and of those the one with the most
 * layers. Undefined if the server holds no usable range.
 */
function findKeptRange(
    member: LayoutServer,
    models: ReadonlyMap<string, ModelDescription>,
): ReturnType<KeptRangeLookup> {
    const usable = member.server.holdings.filter(holding => {
        const model = models.get(holding.model);
        return model !== undefined && holding.layers.last < model.layerTotal
            && layerCount(holding.layers) * model.layerBytes <= member.server.description.class.memoryBytes;
    });
    const versionRank = (index: number) =>
        models.get(usable[index]!.model)!.version === usable[index]!.modelVersion ? 1 : 0;
    const order = usable.map((_, index) => index).sort((left, right) =>
        versionRank(right) - versionRank(left) || layerCount(usable[right]!.layers) - layerCount(usable[left]!.layers)
    );
    return order[0] === undefined ? undefined : usable[order[0]];
}

function* allocateZones(
    zones: readonly ZoneServers[],
    shares: readonly ModelShare[],
    keptRange: KeptRangeLookup,
): Generator<void, ModelAllocation[]> {
    const targets = yield* chooseTargets(zones, shares, keptRange);
    const shortfalls = new Map<string, number>();
    const allocations: ModelAllocation[] = [];
    for (const zone of zones) {
        const modelTargets = shares
            .map(share => ({ share, target: targets.get(zone.zone)?.get(share.model.name) ?? 0 }))
            .filter(({ target }) => target > 0)
            .map(({ share, target }) => ({
                share,
                target: Math.max(target / 2, target + (shortfalls.get(share.model.name) ?? 0)),
            }));
        for (
            const allocation of yield* new ServerAllocator(zone.zone, zone.members, modelTargets).allocate(keptRange)
        ) {
            // Servers are allocated whole; the difference from the target is carried over to the next zone.
            shortfalls.set(allocation.share.model.name, allocation.target - allocatedCapacity(allocation));
            allocations.push(allocation);
        }
        yield;
    }
    return allocations;
}

function* chooseTargets(
    zones: readonly ZoneServers[],
    shares: readonly ModelShare[],
    keptRange: KeptRangeLookup,
): Generator<void, ZoneTargets> {
    const currentCapacity = new Map<string, number>();
    for (const zone of zones) {
        yield;
        for (const member of zone.members) {
            const model = keptRange(member)?.model;
            const key = `${model} ${zone.zone}`;
            currentCapacity.set(key, (currentCapacity.get(key) ?? 0) + member.capacity);
        }
    }
    yield;
    return yield* new ZoneTargetChooser(zones, shares, (model, zone) => currentCapacity.get(`${model} ${zone}`) ?? 0)
        .choose();
}

function* layoutAllocation(allocation: ModelAllocation): Generator<void, PlacedRange[]> {
    yield;
    const { model } = allocation.share;
    const name = `${allocation.zone}/${model.name}`;
    const { chains, rest } = findChains(allocation.kept, model.layerTotal);
    const placed: PlacedRange[] = [
        ...chains.flatMap((chain, index) => chain.map(item => ({ ...item, pipeline: `${name}/kept-${index}` }))),
        ...rest.map(item => ({ ...item, pipeline: `${name}/rest` })),
    ];
    yield;
    const fittingLayers = allocation.added.reduce((sum, member) => sum + layersThatFit(member, model), 0);
    const keptRangesCoverAllLayers = coversAllLayers(allocation.kept.map(item => item.layers), model.layerTotal);
    if (allocation.kept.length === 0 || fittingLayers >= model.layerTotal && keptRangesCoverAllLayers) {
        const newRanges = yield* layoutServers(allocation.added, model, name);
        yield;
        return [...placed, ...matchHoldings(newRanges, model)];
    }
    const placedCapacities = allocation.kept.map(({ member, layers }) => ({ layers, capacity: member.capacity }));
    for (const member of allocation.added) {
        const layers = chooseRangeForWeakestLayers(member, model, placedCapacities);
        if (layers !== undefined) {
            placedCapacities.push({ layers, capacity: member.capacity });
            placed.push({ member, layers, pipeline: `${name}/rest` });
        }
        yield;
    }
    return placed;
}

/** Exchanges servers of the same class between ranges, so that servers keep a range that they already hold. */
export function matchHoldings(placed: readonly PlacedRange[], model: ModelDescription): PlacedRange[] {
    const byClass = new Map<string, PlacedRange[]>();
    for (const range of placed) {
        const { name } = range.member.server.description.class;
        const group = byClass.get(name) ?? [];
        group.push(range);
        byClass.set(name, group);
    }
    return [...byClass.values()].flatMap(group => matchClass(group, model));
}

function matchClass(group: readonly PlacedRange[], model: ModelDescription): PlacedRange[] {
    const membersWithVersion = group.map(range => range.member).filter(member => holdsVersion(member, model));
    const free = new Set(membersWithVersion);
    const retained = new Map<PlacedRange, LayoutServer>();
    for (const range of membersWithVersion.length === 0 ? [] : group) {
        for (const member of free) {
            if (holdsRange(member, model, range)) {
                retained.set(range, member);
                free.delete(member);
                break;
            }
        }
    }
    const taken = new Set(retained.values());
    const rest = group.map(range => range.member).filter(member => !taken.has(member));
    let next = 0;
    return group.map(range => ({ ...range, member: retained.get(range) ?? rest[next++]! }));
}

function holdsVersion(member: LayoutServer, model: ModelDescription): boolean {
    return member.server.holdings.some(holding =>
        holding.model === model.name && holding.modelVersion === model.version
    );
}

function holdsRange(member: LayoutServer, model: ModelDescription, range: PlacedRange): boolean {
    return member.server.holdings.some(holding =>
        holding.model === model.name && holding.modelVersion === model.version
        && containsRange(holding.layers, range.layers)
    );
}
