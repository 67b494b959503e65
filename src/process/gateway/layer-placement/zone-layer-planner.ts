/**
 * Places a full copy of the model's layers in every availability zone whose engines have the capacity for one, so that
 * activations stay within the zone; the remaining zones share a copy. Existing ranges are kept as far as possible: only
 * layers without a holder are assigned: to engines that hold no layers or only layers with other holders, or else to an
 * engine whose range is adjacent and can be extended. Engines that still hold no layers replicate the layers whose loss
 * would cost most.
 */
import type { LayerRange } from "../../../domain/layers.js";
import { LayerCoverage } from "./layer-coverage.js";
import type { LayerPlanner, PlannedServer, RangeChanges } from "./types.js";

export class ZoneLayerPlanner implements LayerPlanner {
    plan(servers: readonly PlannedServer[], layerCount: number): RangeChanges {
        const changes = new Map<string, LayerRange>();
        for (const group of groupByCapacity(servers, layerCount)) {
            new GroupPlan(group, layerCount, changes).complete();
        }
        return changes;
    }
}

/** Each zone with the capacity for a full copy forms a group of its own; all other zones together form one group. */
function groupByCapacity(servers: readonly PlannedServer[], layerCount: number): PlannedServer[][] {
    const zones = new Map<string, PlannedServer[]>();
    for (const server of servers) {
        zones.set(server.availabilityZone, [...zones.get(server.availabilityZone) ?? [], server]);
    }
    const selfSufficient: PlannedServer[][] = [];
    const others: PlannedServer[] = [];
    for (const zone of [...zones.keys()].sort()) {
        const members = zones.get(zone)!;
        const capacity = members.reduce((sum, { maximumLayers }) => sum + maximumLayers, 0);
        if (capacity >= layerCount) {
            selfSufficient.push(members);
        }
        else {
            others.push(...members);
        }
    }
    return others.length === 0 ? selfSufficient : [...selfSufficient, others];
}

/** Plans the layers of one group of servers; records the changed ranges in `changes`. */
class GroupPlan {
    private readonly ranges = new Map<string, LayerRange | undefined>();
    private readonly coverage: LayerCoverage;

    constructor(
        private readonly servers: readonly PlannedServer[],
        layerCount: number,
        private readonly changes: Map<string, LayerRange>,
    ) {
        this.coverage = new LayerCoverage(layerCount);
        for (const { id, range } of servers) {
            this.ranges.set(id, range);
            this.coverage.add(range);
        }
    }

    complete(): void {
        while (this.fillFirstGap()) {
            // Each iteration covers at least one more layer, so the loop ends.
        }
        this.replicateOnIdleServers();
    }

    /** Covers layers of the first gap that can be filled; false if none can. */
    private fillFirstGap(): boolean {
        for (const gap of this.coverage.gaps()) {
            if (
                this.fillWithSpareServer(gap) || this.extendAdjacentServer(gap, false)
                || this.extendAdjacentServer(gap, true)
            ) {
                return true;
            }
        }
        return false;
    }

    private fillWithSpareServer(gap: LayerRange): boolean {
        const length = gap.last - gap.first + 1;
        const server =
            this.spareServers().sort((left, right) => compareGapCandidates(left, right, length, this.ranges))[0];
        if (server === undefined) {
            return false;
        }
        const count = Math.min(length, server.preferredMaximumLayers);
        this.assign(server, { first: gap.first, last: gap.first + count - 1 });
        return true;
    }

    /** Servers that can take an order and hold no layers, or only layers with other holders. */
    private spareServers(): PlannedServer[] {
        return this.servers.filter(({ id, preferredMaximumLayers, orderBlocked }) => {
            const range = this.ranges.get(id);
            return !orderBlocked && preferredMaximumLayers > 0
                && (range === undefined || this.coverage.isRedundant(range));
        });
    }

    /** Extends the range of a server next to the gap, up to its preferred or its absolute maximum. */
    private extendAdjacentServer(gap: LayerRange, upToMaximum: boolean): boolean {
        for (const server of this.servers) {
            const range = this.ranges.get(server.id);
            const limit = upToMaximum ? server.maximumLayers : server.preferredMaximumLayers;
            const room = range === undefined ? 0 : limit - (range.last - range.first + 1);
            if (range === undefined || server.orderBlocked || room <= 0) {
                continue;
            }
            if (range.last + 1 === gap.first) {
                this.assign(server, { first: range.first, last: Math.min(gap.last, range.last + room) });
                return true;
            }
            if (gap.last + 1 === range.first) {
                this.assign(server, { first: Math.max(gap.first, range.first - room), last: range.last });
                return true;
            }
        }
        return false;
    }

    private replicateOnIdleServers(): void {
        const idle = this.servers
            .filter(({ id, preferredMaximumLayers, orderBlocked }) =>
                !orderBlocked && this.ranges.get(id) === undefined && preferredMaximumLayers > 0
            )
            .sort((left, right) =>
                right.preferredMaximumLayers - left.preferredMaximumLayers || compareIds(left, right)
            );
        for (const server of idle) {
            const holders = [...this.ranges.values()].filter(range => range !== undefined);
            this.assign(server, this.coverage.leastReplicatedWindow(server.preferredMaximumLayers, holders));
        }
    }

    private assign(server: PlannedServer, range: LayerRange): void {
        this.coverage.remove(this.ranges.get(server.id));
        this.coverage.add(range);
        this.ranges.set(server.id, range);
        this.changes.set(server.id, range);
    }
}

/**
 * Compares servers by suitability to fill a gap. Criteria in decreasing importance: can fill the gap alone, holds no
 * layers, is a standby server, runs few tokens, has the smallest sufficient size (or the largest size, if none is
 * sufficient), is fast.
 */
function compareGapCandidates(
    left: PlannedServer,
    right: PlannedServer,
    length: number,
    ranges: ReadonlyMap<string, LayerRange | undefined>,
): number {
    const leftFills = left.preferredMaximumLayers >= length;
    const rightFills = right.preferredMaximumLayers >= length;
    if (leftFills !== rightFills) {
        return leftFills ? -1 : 1;
    }
    const bySize = leftFills
        ? left.preferredMaximumLayers - right.preferredMaximumLayers
        : right.preferredMaximumLayers - left.preferredMaximumLayers;
    const byIdle = Number(ranges.get(left.id) !== undefined) - Number(ranges.get(right.id) !== undefined);
    const byStandby = Number(right.standby) - Number(left.standby);
    const byLoad = left.runningTokens - right.runningTokens;
    return byIdle || byStandby || byLoad || bySize || left.stepFactor - right.stepFactor || compareIds(left, right);
}

function compareIds(left: PlannedServer, right: PlannedServer): number {
    return left.id < right.id ? -1 : 1;
}
