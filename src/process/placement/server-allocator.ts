/**
 * Allocates the servers of one availability zone to the models that have a target in it. Servers that hold a model stay
 * with it; a model whose capacity is far above its target releases complete pipelines; free servers go, class by class,
 * to the model with the largest relative deficit, so that all models get a similar mix of classes.
 */
import type { LayerRange } from "../../domain/layers.js";
import { releaseThresholdRatio } from "./constants.js";
import { compareByClass, layersThatFit } from "./layer-layout.js";
import { findChains } from "./pipeline-chains.js";
import type { LayoutServer, ModelAllocation, ModelShare } from "./types.js";

/** Returns the model and layer range that a server keeps; undefined if it keeps none. */
export type KeptRangeLookup = (
    member: LayoutServer,
) => { readonly model: string; readonly layers: LayerRange; } | undefined;

/** A pipeline is released only if the model keeps at least this share of its target. */
const minimumRatioAfterRelease = 0.95;

export class ServerAllocator {
    readonly allocations: ModelAllocation[];
    private readonly byModel: Map<string, ModelAllocation>;
    private free: LayoutServer[] = [];

    constructor(
        zone: string,
        private readonly members: readonly LayoutServer[],
        targets: readonly { readonly share: ModelShare; readonly target: number; }[],
    ) {
        this.allocations = targets.map(({ share, target }) => ({ share, zone, target, kept: [], added: [] }));
        this.byModel = new Map(this.allocations.map(allocation => [allocation.share.model.name, allocation]));
    }

    /** Computes the allocations of all models with a target. Yields between its phases. */
    *allocate(keptRange: KeptRangeLookup): Generator<void, readonly ModelAllocation[]> {
        for (const member of this.members) {
            const kept = keptRange(member);
            const allocation = kept === undefined ? undefined : this.byModel.get(kept.model);
            if (kept === undefined || allocation === undefined) {
                this.free.push(member);
            }
            else {
                allocation.kept.push({ member, layers: kept.layers });
            }
        }
        yield;
        for (const allocation of this.allocations) {
            this.releaseSurplus(allocation);
            yield;
        }
        this.distributeFree();
        yield;
        this.allocations.forEach(allocation => this.takeServersUntilModelFits(allocation));
        return this.allocations;
    }

    private releaseSurplus(allocation: ModelAllocation): void {
        if (allocatedCapacity(allocation) <= allocation.target * releaseThresholdRatio) {
            return;
        }
        for (const chain of findChains(allocation.kept, allocation.share.model.layerTotal).chains) {
            const chainCapacity = chain.reduce((sum, item) => sum + item.member.capacity, 0);
            if (allocatedCapacity(allocation) - chainCapacity < allocation.target * minimumRatioAfterRelease) {
                return;
            }
            for (const item of chain) {
                allocation.kept.splice(allocation.kept.indexOf(item), 1);
                this.free.push(item.member);
            }
        }
    }

    private distributeFree(): void {
        const byClass = new Map<string, LayoutServer[]>();
        for (const member of [...this.free].sort(compareByClass)) {
            const key = `${member.server.description.class.name}/${member.capacity}`;
            const group = byClass.get(key) ?? [];
            group.push(member);
            byClass.set(key, group);
        }
        const capacities = new Map(this.allocations.map(allocation => [allocation, allocatedCapacity(allocation)]));
        for (const members of byClass.values()) {
            this.distributeClass(members, capacities);
        }
        this.free = [];
    }

    private distributeClass(members: readonly LayoutServer[], capacities: Map<ModelAllocation, number>): void {
        const counts = new Map<ModelAllocation, number>();
        for (const member of members) {
            const allocation = this.findLargestDeficit(capacities, member);
            if (allocation !== undefined) {
                counts.set(allocation, (counts.get(allocation) ?? 0) + 1);
                capacities.set(allocation, capacities.get(allocation)! + member.capacity);
            }
        }
        const unassigned = new Set(members);
        for (const [allocation, count] of counts) {
            const serversWithModel = members.filter(member => unassigned.has(member) && holdsModel(member, allocation))
                .slice(0, count);
            serversWithModel.forEach(member => unassigned.delete(member));
            allocation.added.push(...serversWithModel);
            counts.set(allocation, count - serversWithModel.length);
        }
        for (const [allocation, count] of counts) {
            const chosen = [...unassigned].slice(0, count);
            chosen.forEach(member => unassigned.delete(member));
            allocation.added.push(...chosen);
        }
    }

    private findLargestDeficit(
        capacities: ReadonlyMap<ModelAllocation, number>,
        member: LayoutServer,
    ): ModelAllocation | undefined {
        let best: ModelAllocation | undefined;
        let largestDeficit = Number.NEGATIVE_INFINITY;
        for (const allocation of this.allocations) {
            const deficit = (allocation.target - capacities.get(allocation)!) / allocation.target;
            if (deficit > largestDeficit && layersThatFit(member, allocation.share.model) > 0) {
                best = allocation;
                largestDeficit = deficit;
            }
        }
        return best;
    }

    /** Takes added servers from the models with the most capacity relative to target until the model's layers fit. */
    private takeServersUntilModelFits(allocation: ModelAllocation): void {
        if (allocation.kept.length > 0 || allocation.added.length === 0 && this.members.length === 0) {
            return;
        }
        while (missingLayers(allocation) > 0) {
            const donors = this.allocations
                .filter(other => other !== allocation && other.added.length > 0 && canGiveServer(other))
                .sort((left, right) => allocatedCapacity(right) / right.target - allocatedCapacity(left) / left.target);
            const donated = donors[0]?.added.pop();
            if (donated === undefined) {
                return;
            }
            allocation.added.push(donated);
        }
    }
}

/** Layer tokens per second of all servers of the allocation. */
export function allocatedCapacity(allocation: ModelAllocation): number {
    return allocation.kept.reduce((sum, item) => sum + item.member.capacity, 0)
        + allocation.added.reduce((sum, member) => sum + member.capacity, 0);
}

function missingLayers(allocation: ModelAllocation): number {
    return allocation.added.reduce(
        (left, member) => left - layersThatFit(member, allocation.share.model),
        allocation.share.model.layerTotal,
    );
}

function canGiveServer(allocation: ModelAllocation): boolean {
    const last = allocation.added.at(-1)!;
    return allocation.kept.length > 0 || missingLayers(allocation) + layersThatFit(last, allocation.share.model) <= 0;
}

function holdsModel(member: LayoutServer, allocation: ModelAllocation): boolean {
    return member.server.holdings.some(holding => holding.model === allocation.share.model.name);
}
