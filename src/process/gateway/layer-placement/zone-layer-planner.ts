/**
 * Gives every availability zone a whole copy of the model's layers where its engines have room for one, so that
 * activations stay inside the zone; zones without room share a copy. What is held already stays: only layers without a
 * holder are ordered anew, from engines that hold nothing or only what others hold too. Engines that are left over
 * double the layers whose loss would hurt most.
 */
import type { LayerRange } from "../../../domain/layers.js";
import { LayerCoverage } from "./layer-coverage.js";
import type { LayerPlanner, PlannedServer, RangeChanges } from "./types.js";

export class ZoneLayerPlanner implements LayerPlanner {
    plan(servers: readonly PlannedServer[], layerCount: number): RangeChanges {
        const changes = new Map<string, LayerRange>();
        for (const group of groupByRoom(servers, layerCount)) {
            new GroupPlan(group, layerCount, changes).complete();
        }
        return changes;
    }
}

/** Zones with room for a copy each form a group; all other zones together form one. */
function groupByRoom(servers: readonly PlannedServer[], layerCount: number): PlannedServer[][] {
    const zones = new Map<string, PlannedServer[]>();
    for (const server of servers) {
        zones.set(server.availabilityZone, [...zones.get(server.availabilityZone) ?? [], server]);
    }
    const roomy: PlannedServer[][] = [];
    const others: PlannedServer[] = [];
    for (const zone of [...zones.keys()].sort()) {
        const members = zones.get(zone)!;
        const room = members.reduce((sum, { maximumLayers }) => sum + maximumLayers, 0);
        if (room >= layerCount) {
            roomy.push(members);
        }
        else {
            others.push(...members);
        }
    }
    return others.length === 0 ? roomy : [...roomy, others];
}

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
            // Each turn covers at least one more layer.
        }
        this.doubleWithIdle();
    }

    /** Whether a layer was covered that was not before. */
    private fillFirstGap(): boolean {
        for (const gap of this.coverage.gaps()) {
            if (this.fillFromSpare(gap) || this.extendNeighbor(gap, false) || this.extendNeighbor(gap, true)) {
                return true;
            }
        }
        return false;
    }

    private fillFromSpare(gap: LayerRange): boolean {
        const length = gap.last - gap.first + 1;
        const server = this.spareServers().sort((left, right) => compareForGap(left, right, length, this.ranges))[0];
        if (server === undefined) {
            return false;
        }
        const count = Math.min(length, server.comfortableLayers);
        this.assign(server, { first: gap.first, last: gap.first + count - 1 });
        return true;
    }

    /** Servers that hold nothing, or only layers that others hold too. */
    private spareServers(): PlannedServer[] {
        return this.servers.filter(({ id, comfortableLayers, ordered }) => {
            const range = this.ranges.get(id);
            return !ordered && comfortableLayers > 0 && (range === undefined || this.coverage.isRedundant(range));
        });
    }

    /** Lets a server beside the gap hold more. */
    private extendNeighbor(gap: LayerRange, tight: boolean): boolean {
        for (const server of this.servers) {
            const range = this.ranges.get(server.id);
            const limit = tight ? server.maximumLayers : server.comfortableLayers;
            const room = range === undefined ? 0 : limit - (range.last - range.first + 1);
            if (range === undefined || server.ordered || room <= 0) {
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

    private doubleWithIdle(): void {
        const idle = this.servers
            .filter(({ id, comfortableLayers, ordered }) =>
                !ordered && this.ranges.get(id) === undefined && comfortableLayers > 0
            )
            .sort((left, right) => right.comfortableLayers - left.comfortableLayers || compareIds(left, right));
        for (const server of idle) {
            const holders = [...this.ranges.values()].filter(range => range !== undefined);
            this.assign(server, this.coverage.thinnestWindow(server.comfortableLayers, holders));
        }
    }

    private assign(server: PlannedServer, range: LayerRange): void {
        this.coverage.remove(this.ranges.get(server.id));
        this.coverage.add(range);
        this.ranges.set(server.id, range);
        this.changes.set(server.id, range);
    }
}

/** Servers that fill the gap alone come first, then idle ones and standbys, then the smallest that does, else the largest. */
function compareForGap(
    left: PlannedServer,
    right: PlannedServer,
    length: number,
    ranges: ReadonlyMap<string, LayerRange | undefined>,
): number {
    const leftFills = left.comfortableLayers >= length;
    const rightFills = right.comfortableLayers >= length;
    if (leftFills !== rightFills) {
        return leftFills ? -1 : 1;
    }
    const bySize = leftFills
        ? left.comfortableLayers - right.comfortableLayers
        : right.comfortableLayers - left.comfortableLayers;
    const byIdle = Number(ranges.get(left.id) !== undefined) - Number(ranges.get(right.id) !== undefined);
    const byStandby = Number(right.standby) - Number(left.standby);
    const byLoad = left.runningTokens - right.runningTokens;
    return byIdle || byStandby || byLoad || bySize || left.stepFactor - right.stepFactor || compareIds(left, right);
}

function compareIds(left: PlannedServer, right: PlannedServer): number {
    return left.id < right.id ? -1 : 1;
}
