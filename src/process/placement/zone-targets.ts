/**
 * Decides which availability zones carry which model, and with how much compute. Pipelines stay inside one zone where
 * they fit, so that no token crosses a slow link; each model stands in two zones at least, so that the loss of one
 * leaves it whole; and a model with a small share stands in few zones, so that its pipelines are not stretched thin.
 */
import { layersThatFit } from "./layer-layout.js";
import { compareNames } from "./ordering.js";
import type { LayoutServer, ModelShare } from "./types.js";

/** An availability zone with its servers. */
export interface ZoneServers {
    readonly zone: string;
    readonly region: string;
    readonly members: LayoutServer[];
    readonly capacity: number;
}

/** Layer tokens a second for each zone and model. */
export type ZoneTargets = ReadonlyMap<string, ReadonlyMap<string, number>>;

const minimumZones = 2;
/** Servers that are grouped between two points at which other work may run. */
const membersPerStep = 500;

/** Yields now and then. */
export function* groupByZone(members: readonly LayoutServer[]): Generator<void, ZoneServers[]> {
    const groups = new Map<string, LayoutServer[]>();
    for (const [index, member] of members.entries()) {
        if (index % membersPerStep === 0) {
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

/** Chooses the targets. Models that fit into no single zone get none here. */
export class ZoneTargetChooser {
    private readonly remaining = new Map<string, number>();
    private readonly targets = new Map<string, Map<string, number>>();
    private readonly smallest = new Map<ModelShare, ReadonlyMap<ZoneServers, number>>();

    constructor(
        private readonly zones: readonly ZoneServers[],
        private readonly shares: readonly ModelShare[],
        /** Layer tokens a second that already hold the model in the zone; such zones are preferred. */
        private readonly present: (model: string, zone: string) => number,
    ) {}

    /** Yields between models. */
    *choose(): Generator<void, ZoneTargets> {
        for (const share of this.shares) {
            this.smallest.set(share, new Map(this.zones.map(zone => [zone, smallestPipeline(share, zone)])));
            yield;
        }
        const concentrated = new Set<ModelShare>();
        for (;;) {
            this.reset();
            for (const share of concentrated) {
                this.placeInFewZones(share);
            }
            const spread = this.shares.filter(share => !concentrated.has(share));
            const thin = spread.find(share => this.isThin(share, spread));
            if (thin === undefined) {
                this.placeEverywhere(spread);
                return this.targets;
            }
            concentrated.add(thin);
        }
    }

    private reset(): void {
        this.targets.clear();
        for (const zone of this.zones) {
            this.remaining.set(zone.zone, zone.capacity);
            this.targets.set(zone.zone, new Map());
        }
    }

    private smallestPipeline(share: ModelShare, zone: ZoneServers): number {
        return this.smallest.get(share)!.get(zone)!;
    }

    private isThin(share: ModelShare, spread: readonly ModelShare[]): boolean {
        const shareTotal = spread.reduce((sum, other) => sum + other.share, 0);
        return this.zones.some(zone =>
            (this.remaining.get(zone.zone)! * share.share) / shareTotal < this.smallestPipeline(share, zone)
        );
    }

    private placeEverywhere(spread: readonly ModelShare[]): void {
        const shareTotal = spread.reduce((sum, share) => sum + share.share, 0);
        for (const zone of this.zones) {
            for (const share of spread) {
                const target = (this.remaining.get(zone.zone)! * share.share) / shareTotal;
                this.targets.get(zone.zone)!.set(share.model.name, target);
            }
        }
    }

    private placeInFewZones(share: ModelShare): void {
        const capacity = this.zones.reduce((sum, zone) => sum + zone.capacity, 0);
        let left = capacity * share.share;
        let placed = 0;
        for (const zone of this.preferredZones(share)) {
            const smallest = this.smallestPipeline(share, zone);
            const available = this.remaining.get(zone.zone)!;
            if (smallest > available || placed >= minimumZones && left < smallest) {
                continue;
            }
            const zonesToCome = Math.max(1, minimumZones - placed);
            const target = Math.min(available, Math.max(smallest, placed < minimumZones ? left / zonesToCome : left));
            this.targets.get(zone.zone)!.set(share.model.name, target);
            this.remaining.set(zone.zone, available - target);
            left = Math.max(0, left - target);
            placed++;
        }
    }

    private preferredZones(share: ModelShare): ZoneServers[] {
        const presence = (zone: ZoneServers) => this.present(share.model.name, zone.zone) > 0 ? 1 : 0;
        return this.zones
            .filter(zone => Number.isFinite(this.smallestPipeline(share, zone)))
            .sort((left, right) =>
                presence(right) - presence(left)
                || this.remaining.get(right.zone)! - this.remaining.get(left.zone)!
                || compareNames(left.zone, right.zone)
            );
    }
}

/** Compute of the smallest pipeline of the model in the zone; infinite when none fits. */
function smallestPipeline(share: ModelShare, zone: ZoneServers): number {
    const fitting = zone.members.reduce((sum, member) => sum + layersThatFit(member, share.model), 0);
    return fitting < share.model.layerTotal
        ? Number.POSITIVE_INFINITY
        : (zone.capacity * share.model.layerTotal) / fitting;
}
