/**
 * Chooses the availability zones of each model and its target capacity in each. Pipelines stay within one zone where
 * they fit, so that no token crosses a slow link. Each model gets at least two zones if they have room, so that it
 * survives the loss of one. A model with a small share gets few zones, so that its capacity in each is enough for
 * a pipeline.
 */
import { compareNames } from "./compare-names.js";
import { layersThatFit } from "./layer-layout.js";
import type { LayoutServer, ModelShare } from "./types.js";

/** An availability zone with its servers. */
export interface ZoneServers {
    readonly zone: string;
    readonly region: string;
    readonly members: LayoutServer[];
    /** Layer tokens per second of all members. */
    readonly capacity: number;
}

/** Target in layer tokens per second, by zone and model name. */
export type ZoneTargets = ReadonlyMap<string, ReadonlyMap<string, number>>;

const minimumZonesPerModel = 2;
/** Number of servers that are grouped between two yields. */
const serversPerStep = 500;

/** Groups servers by availability zone, sorted by zone name. Yields periodically. */
export function* groupByZone(members: readonly LayoutServer[]): Generator<void, ZoneServers[]> {
    const groups = new Map<string, LayoutServer[]>();
    for (const [index, member] of members.entries()) {
        if (index % serversPerStep === 0) {
            yield;
        }
        const group = groups.get(member.zone);
        if (group === undefined) {
            groups.set(member.zone, [member]);
        }
        else {
            group.push(member);
        }
    }
    return [...groups.entries()]
        .sort(([left], [right]) => compareNames(left, right))
        .map(([zone, group]) => ({
            zone,
            region: group[0]!.server.description.region,
            members: group,
            capacity: group.reduce((sum, member) => sum + member.capacity, 0),
        }));
}

/** Chooses the targets of all models that fit in a single zone. */
export class ZoneTargetChooser {
    /** Layer tokens per second that are not yet given to a model, by zone. */
    private readonly remainingCapacities = new Map<string, number>();
    private readonly targets = new Map<string, Map<string, number>>();
    private readonly smallestPipelineCapacities = new Map<ModelShare, ReadonlyMap<ZoneServers, number>>();

    constructor(
        private readonly zones: readonly ZoneServers[],
        private readonly shares: readonly ModelShare[],
        /** Layer tokens per second of the zone's servers that hold the model; zones with such servers are preferred. */
        private readonly currentCapacity: (model: string, zone: string) => number,
    ) {}

    /**
     * Spreads each model over all zones; a model whose share of some zone would be too small for a pipeline is placed
     * in few zones instead, and the others are computed again. Yields between models.
     */
    *choose(): Generator<void, ZoneTargets> {
        for (const share of this.shares) {
            this.smallestPipelineCapacities.set(
                share,
                new Map(this.zones.map(zone => [zone, computeSmallestPipelineCapacity(share, zone)])),
            );
            yield;
        }
        const concentrated = new Set<ModelShare>();
        for (;;) {
            this.reset();
            for (const share of concentrated) {
                this.setTargetsInFewZones(share);
            }
            const spread = this.shares.filter(share => !concentrated.has(share));
            const tooSmall = spread.find(share => this.isBelowSmallestPipeline(share, spread));
            if (tooSmall === undefined) {
                this.setTargetsInAllZones(spread);
                return this.targets;
            }
            concentrated.add(tooSmall);
        }
    }

    private reset(): void {
        this.targets.clear();
        for (const zone of this.zones) {
            this.remainingCapacities.set(zone.zone, zone.capacity);
            this.targets.set(zone.zone, new Map());
        }
    }

    private smallestPipelineCapacity(share: ModelShare, zone: ZoneServers): number {
        return this.smallestPipelineCapacities.get(share)!.get(zone)!;
    }

    private isBelowSmallestPipeline(share: ModelShare, spread: readonly ModelShare[]): boolean {
        const shareTotal = spread.reduce((sum, other) => sum + other.share, 0);
        return this.zones.some(zone =>
            (this.remainingCapacities.get(zone.zone)! * share.share) / shareTotal
                < this.smallestPipelineCapacity(share, zone)
        );
    }

    private setTargetsInAllZones(spread: readonly ModelShare[]): void {
        const shareTotal = spread.reduce((sum, share) => sum + share.share, 0);
        for (const zone of this.zones) {
            for (const share of spread) {
                const target = (this.remainingCapacities.get(zone.zone)! * share.share) / shareTotal;
                this.targets.get(zone.zone)!.set(share.model.name, target);
            }
        }
    }

    private setTargetsInFewZones(share: ModelShare): void {
        const capacity = this.zones.reduce((sum, zone) => sum + zone.capacity, 0);
        let remainingTarget = capacity * share.share;
        let chosenZones = 0;
        for (const zone of this.preferredZones(share)) {
            const minimumCapacity = this.smallestPipelineCapacity(share, zone);
            const available = this.remainingCapacities.get(zone.zone)!;
            if (
                minimumCapacity > available || chosenZones >= minimumZonesPerModel && remainingTarget < minimumCapacity
            ) {
                continue;
            }
            const remainingZones = Math.max(1, minimumZonesPerModel - chosenZones);
            const target = Math.min(
                available,
                Math.max(
                    minimumCapacity,
                    chosenZones < minimumZonesPerModel ? remainingTarget / remainingZones : remainingTarget,
                ),
            );
            this.targets.get(zone.zone)!.set(share.model.name, target);
            this.remainingCapacities.set(zone.zone, available - target);
            remainingTarget = Math.max(0, remainingTarget - target);
            chosenZones++;
        }
    }

    private preferredZones(share: ModelShare): ZoneServers[] {
        const holdsModel = (zone: ZoneServers) => this.currentCapacity(share.model.name, zone.zone) > 0 ? 1 : 0;
        return this.zones
            .filter(zone => Number.isFinite(this.smallestPipelineCapacity(share, zone)))
            .sort((left, right) =>
                holdsModel(right) - holdsModel(left)
                || this.remainingCapacities.get(right.zone)! - this.remainingCapacities.get(left.zone)!
                || compareNames(left.zone, right.zone)
            );
    }
}

/** Layer tokens per second of the smallest pipeline of the model in the zone; infinite if none fits. */
function computeSmallestPipelineCapacity(share: ModelShare, zone: ZoneServers): number {
    const fittingLayers = zone.members.reduce((sum, member) => sum + layersThatFit(member, share.model), 0);
    return fittingLayers < share.model.layerTotal
        ? Number.POSITIVE_INFINITY
        : (zone.capacity * share.model.layerTotal) / fittingLayers;
}
