/** Finds pipelines in what servers hold: chains of ranges that cover a model's layers from the first to the last. */
import type { LayerRange } from "../../domain/layers.js";

/** The items of one chain, in layer order. */
export type Chain<Item> = readonly Item[];

interface Ranged {
    readonly layers: LayerRange;
}

/**
 * Takes chains greedily until none is left. Each link starts as close as possible to the layer that is needed, so
 * that ranges which were laid together are found together.
 */
export function findChains<Item extends Ranged>(
    items: readonly Item[],
    layerTotal: number,
    maximumChains: number = Number.POSITIVE_INFINITY,
): { readonly chains: readonly Chain<Item>[]; readonly rest: readonly Item[]; } {
    const pool = new ChainPool(items, layerTotal);
    const chains: Item[][] = [];
    while (chains.length < maximumChains) {
        const chain = pool.takeChain();
        if (chain === undefined) {
            break;
        }
        chains.push(chain);
    }
    return { chains, rest: pool.rest() };
}

/** Whether the ranges cover every layer. */
export function coversAllLayers(ranges: readonly LayerRange[], layerTotal: number): boolean {
    let reached = 0;
    for (const { first, last } of [...ranges].sort((left, right) => left.first - right.first)) {
        if (first > reached) {
            return false;
        }
        reached = Math.max(reached, last + 1);
    }
    return reached >= layerTotal;
}

class ChainPool<Item extends Ranged> {
    /** Unused items by first layer, longest last. */
    private readonly byFirst: Item[][];

    constructor(items: readonly Item[], private readonly layerTotal: number) {
        this.byFirst = Array.from({ length: layerTotal }, () => []);
        for (const item of items) {
            this.byFirst[item.layers.first]?.push(item);
        }
        for (const group of this.byFirst) {
            group.sort((left, right) => left.layers.last - right.layers.last);
        }
    }

    takeChain(): Item[] | undefined {
        const chain: Item[] = [];
        let needed = 0;
        while (needed < this.layerTotal) {
            const item = this.take(needed);
            if (item === undefined) {
                chain.forEach(taken => this.putBack(taken));
                return undefined;
            }
            chain.push(item);
            needed = item.layers.last + 1;
        }
        return chain;
    }

    rest(): Item[] {
        return this.byFirst.flat();
    }

    private take(needed: number): Item | undefined {
        for (let first = needed; first >= 0; first--) {
            const group = this.byFirst[first]!;
            if ((group.at(-1)?.layers.last ?? -1) >= needed) {
                return group.pop();
            }
        }
        return undefined;
    }

    private putBack(item: Item): void {
        const group = this.byFirst[item.layers.first]!;
        group.push(item);
        group.sort((left, right) => left.layers.last - right.layers.last);
    }
}
