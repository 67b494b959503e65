/**
 * Gives the servers of one availability zone to the models that have a target there. Servers that hold a model stay
 * with it; whole pipelines are released where a model has far more than its target; free servers go, class by class,
 * to the model that lacks most, so that each model gets a like mix of classes.
 */
import type { LayerRange } from "../../domain/layers.js";
import { surplusShare } from "./constants.js";
import { compareByClass, layersThatFit } from "./layer-layout.js";
import { findChains } from "./pipeline-chains.js";
import type { Bucket, LayoutServer, ModelShare } from "./types.js";

/** The model and range that a server keeps, if it keeps any. */
export type KeptRange = (member: LayoutServer) => { readonly model: string; readonly layers: LayerRange; } | undefined;

const releaseFloorShare = 0.95;

export class ServerAllocation {
    readonly buckets: Bucket[];
    private readonly byModel: Map<string, Bucket>;
    private free: LayoutServer[] = [];

    constructor(
        zone: string,
        private readonly members: readonly LayoutServer[],
        targets: readonly { readonly share: ModelShare; readonly target: number; }[],
    ) {
        this.buckets = targets.map(({ share, target }) => ({ share, zone, target, kept: [], added: [] }));
        this.byModel = new Map(this.buckets.map(bucket => [bucket.share.model.name, bucket]));
    }

    /** Yields between its stages. */
    *allocate(keptRange: KeptRange): Generator<void, readonly Bucket[]> {
        for (const member of this.members) {
            const kept = keptRange(member);
            const bucket = kept === undefined ? undefined : this.byModel.get(kept.model);
            if (kept === undefined || bucket === undefined) {
                this.free.push(member);
            }
            else {
                bucket.kept.push({ member, layers: kept.layers });
            }
        }
        yield;
        for (const bucket of this.buckets) {
            this.releaseSurplus(bucket);
            yield;
        }
        this.distributeFree();
        yield;
        this.buckets.forEach(bucket => this.makeFeasible(bucket));
        return this.buckets;
    }

    private releaseSurplus(bucket: Bucket): void {
        if (bucketCapacity(bucket) <= bucket.target * surplusShare) {
            return;
        }
        for (const chain of findChains(bucket.kept, bucket.share.model.layerTotal).chains) {
            const chainCapacity = chain.reduce((sum, item) => sum + item.member.capacity, 0);
            if (bucketCapacity(bucket) - chainCapacity < bucket.target * releaseFloorShare) {
                return;
            }
            for (const item of chain) {
                bucket.kept.splice(bucket.kept.indexOf(item), 1);
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
        const capacities = new Map(this.buckets.map(bucket => [bucket, bucketCapacity(bucket)]));
        for (const members of byClass.values()) {
            this.distributeClass(members, capacities);
        }
        this.free = [];
    }

    private distributeClass(members: readonly LayoutServer[], capacities: Map<Bucket, number>): void {
        const counts = new Map<Bucket, number>();
        for (const member of members) {
            const bucket = this.neediest(capacities, member);
            if (bucket !== undefined) {
                counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
                capacities.set(bucket, capacities.get(bucket)! + member.capacity);
            }
        }
        const left = new Set(members);
        for (const [bucket, count] of counts) {
            const holders = members.filter(member => left.has(member) && holdsModel(member, bucket)).slice(0, count);
            holders.forEach(member => left.delete(member));
            bucket.added.push(...holders);
            counts.set(bucket, count - holders.length);
        }
        for (const [bucket, count] of counts) {
            const chosen = [...left].slice(0, count);
            chosen.forEach(member => left.delete(member));
            bucket.added.push(...chosen);
        }
    }

    private neediest(capacities: ReadonlyMap<Bucket, number>, member: LayoutServer): Bucket | undefined {
        let best: Bucket | undefined;
        let bestLack = Number.NEGATIVE_INFINITY;
        for (const bucket of this.buckets) {
            const lack = (bucket.target - capacities.get(bucket)!) / bucket.target;
            if (lack > bestLack && layersThatFit(member, bucket.share.model) > 0) {
                best = bucket;
                bestLack = lack;
            }
        }
        return best;
    }

    /** Moves added servers from richer models until the model's layers fit. */
    private makeFeasible(bucket: Bucket): void {
        if (bucket.kept.length > 0 || bucket.added.length === 0 && this.members.length === 0) {
            return;
        }
        while (missingLayers(bucket) > 0) {
            const donors = this.buckets
                .filter(other => other !== bucket && other.added.length > 0 && canSpare(other))
                .sort((left, right) => bucketCapacity(right) / right.target - bucketCapacity(left) / left.target);
            const donated = donors[0]?.added.pop();
            if (donated === undefined) {
                return;
            }
            bucket.added.push(donated);
        }
    }
}

/** Layer tokens a second of all servers of the bucket. */
export function bucketCapacity(bucket: Bucket): number {
    return bucket.kept.reduce((sum, item) => sum + item.member.capacity, 0)
        + bucket.added.reduce((sum, member) => sum + member.capacity, 0);
}

function missingLayers(bucket: Bucket): number {
    return bucket.added.reduce(
        (left, member) => left - layersThatFit(member, bucket.share.model),
        bucket.share.model.layerTotal,
    );
}

function canSpare(bucket: Bucket): boolean {
    const last = bucket.added.at(-1)!;
    return bucket.kept.length > 0 || missingLayers(bucket) + layersThatFit(last, bucket.share.model) <= 0;
}

function holdsModel(member: LayoutServer, bucket: Bucket): boolean {
    return member.server.holdings.some(holding => holding.model === bucket.share.model.name);
}
